#include "entry_host.hpp"

#include <absl/time/clock.h>

#include <http/http_exchange.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr absl::Duration drain_check_interval = absl::Milliseconds(20);

http_server_options listen_options(const daemon_settings& settings,
                                   const std::string& address,
                                   std::int64_t port)
{
    http_server_options options;
    options.address = address;
    options.port = static_cast<std::uint16_t>(port);
    options.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    return options;
}

kept_answer_limits answer_limits(const daemon_settings& settings)
{
    return {static_cast<std::size_t>(settings.kept_answer_bytes),
            absl::FromChrono(settings.kept_answer_time)};
}

operator_api_options operator_options(const daemon_settings& settings)
{
    return {settings.operators_token_sha256, settings.has_test_faults};
}

peer_transport_options transport_options(const daemon_settings& settings)
{
    return {settings.peers_address,
            static_cast<std::uint16_t>(settings.peers_port),
            host_id(settings.host_id)};
}

} // namespace

entry_host::entry_host(const daemon_settings& settings)
    : m_settings(settings)
    , m_node(host_id(settings.host_id), hall_id(settings.host_hall))
    , m_spans("daleshelfd", settings.traces_endpoint, m_client)
    , m_log(m_client, settings.platform_url)
    , m_engines(m_client)
    , m_admission(m_node)
    , m_requests(m_node, m_engines, m_admission, m_spans,
                 answer_limits(settings))
    , m_services(m_node, m_client, m_spans)
    , m_peers(m_control, m_node, transport_options(settings),
              settings.peers_seeds,
              [this](const host_id& host) { m_watcher.on_host_leaving(host); })
    , m_follower(m_control, m_node, m_log, m_peers, settings.platform_stream)
    , m_orders(m_client)
    , m_cloud(m_client, settings.platform_url)
    , m_planner(m_control, m_node, m_log, m_follower, m_orders, m_cloud,
                settings.platform_stream + "-leases")
    , m_claims(m_control, m_node, m_log, settings.platform_stream + "-claims")
    , m_replication(m_node, m_peers, m_requests, m_spans)
    , m_watcher(
          m_node, m_client, settings.platform_url,
          [this](const host_id& host) { m_peers.add_leaving(host); },
          [this](const upstream_id& id, absl::Time leaves_at)
          { m_requests.on_upstream_leaving(id, leaves_at); },
          [this] { on_reclaimed(); })
    , m_caller_api(m_node, m_requests, m_replication, m_services, m_claims,
                   m_gate, m_spans)
    , m_operator_api(m_node, m_follower, m_peers, operator_options(settings),
                     [this] { start_drain(); })
{
    m_caller_server = http_server::create(
        listen_options(settings, settings.callers_address,
                       settings.callers_port),
        [this](const std::shared_ptr<http_exchange>& exchange)
        { m_caller_api.handle(exchange); });
    m_operator_server = http_server::create(
        listen_options(settings, settings.operators_address,
                       settings.operators_port),
        [this](const std::shared_ptr<http_exchange>& exchange)
        { m_operator_api.handle(exchange); });
    m_gate.set_refresh(
        [this] { m_watcher.refresh([this] { m_gate.set_refreshed(); }); });
    m_peers.start();
    m_follower.start();
    m_claims.start();
    m_planner.start();
    m_replication.start();
    log(events::process_started,
        {{"host", settings.host_id},
         {"hall", settings.host_hall},
         {"callers",
          settings.callers_address + ":" + std::to_string(callers_port())},
         {"peers", peers_address()},
         {"operators", settings.operators_address + ":" +
                           std::to_string(operators_port())}});
}

entry_host::~entry_host()
{
    // Nothing may call back into the other parts once they begin to go.
    m_caller_server.reset();
    m_operator_server.reset();
    // Replicas learn how the last requests ended, or they would run them.
    m_replication.stop();
    m_spans.stop();
    m_client.stop();
    m_peers.stop();
}

std::uint16_t entry_host::callers_port() const
{
    return m_caller_server->port();
}

std::uint16_t entry_host::operators_port() const
{
    return m_operator_server->port();
}

const std::string& entry_host::peers_address() const
{
    return m_peers.transport().address();
}

void entry_host::start_drain()
{
    if (m_is_drain_asked.exchange(true))
    {
        return;
    }
    m_node.set_draining();
    m_peers.set_draining();
    m_planner.release();
    m_drain_asked.Notify();
}

void entry_host::on_reclaimed()
{
    // NOTE: set first, so that the drain does not wait for requests to end.
    m_is_reclaimed = true;
    start_drain();
}

void entry_host::run_until_drained()
{
    // docs/OPERATIONS.md, "Planned stop".
    // 1. Wait for the order.
    m_drain_asked.WaitForNotification();
    log(events::process_stopping,
        {{"in_flight", static_cast<std::int64_t>(in_flight())}});
    if (m_is_reclaimed)
    {
        m_replication.start_handoff();
    }
    // 2. The balancer sees /readyz fail and sends nothing more.
    absl::SleepFor(absl::FromChrono(m_settings.balancer_time));
    // 3. Take no further connection; those that stand are told to close.
    m_caller_server->quiesce();
    // 4. Let what is in flight end; hand off what does not end in time.
    const auto start = absl::Now();
    wait_for_requests(start + absl::FromChrono(m_settings.finish_time));
    m_replication.start_handoff();
    wait_for_requests(start + absl::FromChrono(m_settings.drain_timeout));
    const auto left = static_cast<std::int64_t>(in_flight());
    if (left > 0)
    {
        log(events::drain_timed_out, {{"in_flight", left}});
    }
    log(events::process_stopped);
}

std::size_t entry_host::in_flight() const
{
    return m_requests.in_flight() + m_services.in_flight() +
           m_caller_server->open_exchanges();
}

void entry_host::wait_for_requests(absl::Time end)
{
    while (in_flight() > 0 && absl::Now() < end)
    {
        absl::SleepFor(drain_check_interval);
    }
}

} // namespace daleshelf
