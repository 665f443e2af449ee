#include "gateway.hpp"

#include <base/http_status.hpp>
#include <platform/request_format.hpp>
#include <settings/settings_document.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds maintenance_interval{500};
// The platform may rewrite the settings file without sending a signal.
constexpr int rounds_per_settings_check = 4;
// The load balancer probes every second and removes a host after two failures.
constexpr std::chrono::milliseconds balancer_removal_time{2700};
// Time for responses to be sent before the process exits.
constexpr std::chrono::milliseconds response_margin{600};
constexpr std::chrono::milliseconds exit_margin{200};
constexpr std::chrono::milliseconds stop_check_interval{50};

double seconds_between(monotonic::time_point from, monotonic::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

gateway::gateway(asio::io_context& context, gateway_settings settings,
                 std::string settings_path)
    : m_context(context)
    , m_settings_path(std::move(settings_path))
    , m_settings_file(m_settings_path)
    , m_state(context, std::move(settings))
    , m_configuration(
          m_state, std::string(platform::operator_topic),
          {[this](const auto& record) { apply_operator_record(record); },
           [this](const auto& records) { apply_operator_list(records); },
           [this](log_offset from, const auto& records)
           {
               m_peers.share_records(std::string(platform::operator_topic),
                                     from, records);
           },
           [this]
           { return m_peers.catch_up(std::string(platform::operator_topic)); }})
    , m_servers(
          m_state, std::string(platform::server_topic),
          {[this](const auto& record) { apply_server_record(record); },
           [this](const auto& records) { apply_server_list(records); },
           [this](log_offset from, const auto& records) {
               m_peers.share_records(std::string(platform::server_topic), from,
                                     records);
           },
           [this]
           { return m_peers.catch_up(std::string(platform::server_topic)); }})
    , m_peers(m_state, {m_configuration, m_servers})
    , m_duties(m_state, m_peers)
    , m_scaling(m_state, m_peers, m_duties)
    , m_rollouts(m_state, m_peers, m_duties)
    , m_poison(m_state, m_peers)
    , m_limits(m_state, m_peers)
    , m_headroom(m_state, m_peers)
    , m_origin_log(m_state)
    , m_clients(m_state, m_state.settings.clients_address)
    , m_readiness(context, m_state.settings.readiness_address,
                  [this](const std::string&) { return readiness_response(); })
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
{
    if (!m_state.settings.metrics_address.empty())
    {
        m_metrics = std::make_unique<simple_http_server>(
            context, m_state.settings.metrics_address,
            [this](const std::string&) { return metrics_response(); });
    }
}

void gateway::run()
{
    start();
    bool has_finished = false;
    while (!has_finished)
    {
        try
        {
            m_context.run();
            has_finished = true;
        }
        catch (const std::exception& error)
        {
            // Only one request or exchange has failed; the others continue.
            log(events::unexpected_error, {{"error", error.what()}});
        }
    }
}

void gateway::start()
{
    asio::co_spawn(
        m_context, [this] { return m_configuration.run(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return m_servers.run(); }, asio::detached);
    m_clients.start();
    asio::co_spawn(
        m_context, [this] { return watch_signals(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return run_periodic_tasks(); }, asio::detached);
    m_readiness.start();
    if (m_metrics)
    {
        m_metrics->start();
    }
    m_peers.start();
    m_duties.start();
    m_scaling.start();
    m_rollouts.start();
    m_poison.start();
    m_limits.start();
    m_headroom.start();
    m_origin_log.start();
    log(events::process_started,
        {{"host", m_state.self.value()},
         {"hall", m_state.hall.value()},
         {"clients", m_state.settings.clients_address},
         {"started", std::to_string(m_state.own_incarnation.value())}});
}

awaitable<void> gateway::watch_signals()
{
    while (true)
    {
        const auto [error, signal] = co_await m_signals.async_wait(use_result);
        if (error)
        {
            co_return;
        }
        if (signal == SIGHUP)
        {
            (void)m_settings_file.has_changed();
            reload_settings();
            continue;
        }
        if (!m_state.is_stopping)
        {
            asio::co_spawn(
                m_context, [this] { return stop(); }, asio::detached);
        }
    }
}

awaitable<void> gateway::run_periodic_tasks()
{
    boot_timer timer(m_context);
    for (int round = 1;; ++round)
    {
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(use_result);
        const auto now = monotonic::now();
        if (round % rounds_per_settings_check == 0 &&
            m_settings_file.has_changed())
        {
            reload_settings();
        }
        log_suspension();
        log_server_changes();
        m_state.skipped.log_summary();
        m_state.servers.versions().set_orders_known_at(
            gateway_state::to_time(m_configuration.complete_as_of()));
        m_state.origins.observe_versions();
        m_state.pool.sweep(now);
        m_state.choice.drop_unlisted();
        m_state.limits.run_maintenance();
        m_clients.close_stalled(now);
        m_clients.log_evictions();
    }
}

// Timeouts do not depend on this: their clock counts suspensions. The log line
// explains why many of them expired at once.
void gateway::log_suspension()
{
    const auto time = m_suspensions.take();
    if (time.count() > 0)
    {
        m_suspended_time += time;
        log(events::host_suspended,
            {{"ms",
              std::to_string(
                  std::chrono::duration_cast<milliseconds>(time).count())}});
    }
}

// Graceful shutdown: reports not ready, closes idle connections once the
// balancer has removed this host, and stops when no request is in flight or the
// drain time is over. Requests that are in flight shortly before get their
// final response.
awaitable<void> gateway::stop()
{
    const auto started_at = monotonic::now();
    // A reload of the settings leaves the end of this stop where it is.
    const auto time = m_state.settings.stop_time;
    m_state.is_stopping = true;
    m_state.stopping_since = started_at;
    m_state.responses_due =
        std::max(started_at, started_at + time - response_margin);
    m_state.quota.shared().stop();
    m_duties.stop();
    log(events::process_stopping,
        {{"in_flight", std::to_string(m_state.requests_in_flight)}});
    bool has_expired = false;
    boot_timer timer(m_context);
    while (monotonic::now() < started_at + time - exit_margin)
    {
        timer.expires_after(stop_check_interval);
        co_await timer.async_wait(use_result);
        const auto now = monotonic::now();
        if (now >= m_state.responses_due && !has_expired)
        {
            has_expired = true;
            expire_requests();
        }
        if (now - started_at < balancer_removal_time)
        {
            continue;
        }
        m_clients.close_idle();
        if (m_state.requests_in_flight == 0 && m_peers.open_tunnels() == 0)
        {
            break;
        }
    }
    m_clients.stop();
    log(events::process_stopped,
        {{"in_flight", std::to_string(m_state.requests_in_flight)}});
    m_context.stop();
}

// Lets the requests in flight end as at their deadlines.
void gateway::expire_requests()
{
    if (m_state.requests_in_flight == 0)
    {
        return;
    }
    log(events::drain_timed_out,
        {{"in_flight", std::to_string(m_state.requests_in_flight)}});
    m_clients.expire_requests();
}

void gateway::reload_settings()
{
    try
    {
        // Addresses and names are fixed until the process restarts; the
        // settings that may change apply at once.
        const auto fresh = read_settings<gateway_settings>(
            m_settings_path, gateway_setting_table());
        m_state.settings.stop_time = fresh.stop_time;
        log(events::settings_reloaded, {{"outcome", "in_force"}});
    }
    catch (const std::exception& error)
    {
        log(events::settings_reloaded,
            {{"outcome", "kept"}, {"error", error.what()}});
    }
}

simple_response gateway::readiness_response() const
{
    return {m_state.is_ready() ? http_status::ok : http_status::unavailable, "",
            "text/plain"};
}

void gateway::set_gauges()
{
    m_headroom.set_gauges();
    auto& meter = m_state.meter;
    const auto now = gateway_state::now();
    meter.set("configuration_version", "Version in force; 0: none is known.",
              m_state.routes
                  ? static_cast<double>(m_state.routes->configuration().version)
                  : 0);
    meter.set("configuration_store_answer_age_seconds",
              "Time since the store answered for the configuration.",
              m_configuration.response_age_seconds());
    meter.set(
        "configuration_known_age_seconds",
        "Time since when a change of the configuration may be unknown.",
        seconds_between(m_configuration.complete_as_of(), monotonic::now()));
    meter.set("servers_known_age_seconds",
              "Time since when a change of the servers may be unknown.",
              seconds_between(m_servers.complete_as_of(), monotonic::now()));
    meter.set("servers_store_answer_age_seconds",
              "Time since the store answered for the list of servers.",
              m_servers.response_age_seconds());
    meter.set("servers_listed", "Servers in the list.",
              static_cast<double>(m_state.servers.size()));
    meter.set("records_skipped", "Records of the store that cannot be read.",
              static_cast<double>(m_state.skipped.total()));
    meter.set("requests_suspected", "Requests that may end servers, known now.",
              static_cast<double>(m_state.poison.size()));
    meter.set("requests_proved", "Of these, proved ones, which are refused.",
              static_cast<double>(m_state.poison.confirmed().size()));
    meter.set(
        "upstreams_limited", "Upstreams that name a limit now.",
        static_cast<double>(m_state.quota.shared().limits().limited_count()));
    meter.set("machines_known", "Gateways known, with this one.",
              static_cast<double>(m_peers.table().size()));
    meter.set("machines_reached", "Gateways heard lately, with this one.",
              static_cast<double>(m_peers.table().reachable_count(now)));
    meter.set("quota_share", "Of the fleet's time, that this gateway earns.",
              m_state.quota.shared().share());
    meter.set("quota_kept", "Of the fleet's time, that this gateway keeps.",
              m_state.quota.shared().buckets().weight(now));
    meter.set("quota_machines", "Gateways that quotas are shared by.",
              static_cast<double>(m_state.quota.shared().fleet_size()));
    meter.set("suspended_seconds", "For which the machine was suspended.",
              std::chrono::duration<double>(m_suspended_time).count());
    meter.set("requests_in_flight", "Requests that are being served.",
              static_cast<double>(m_state.requests_in_flight));
    meter.set("client_connections", "Connections of clients.",
              static_cast<double>(m_clients.connection_count()));
    meter.set("client_connection_limit", "Connections that clients may have.",
              static_cast<double>(m_clients.connection_limit()));
    meter.set("request_memory_bytes", "Held by requests of clients.",
              static_cast<double>(m_state.client_memory->held()));
    meter.set("request_memory_limit_bytes", "That requests may hold.",
              static_cast<double>(m_state.client_memory->limit()));
    meter.set("services_impaired",
              "Services whose upstreams this host cannot connect to directly.",
              static_cast<double>(
                  m_state.upstreams.links().impaired_services().size()));
    meter.set("tunnels_open", "Connections relayed for peers.",
              static_cast<double>(m_peers.open_tunnels()));
    meter.set("server_connections_made", "Connections opened to servers.",
              static_cast<double>(m_state.pool.connections_made()));
    double rollout_share = 0;
    int rollouts_running = 0;
    for (const auto& service :
         m_state.servers.versions().services_with_orders())
    {
        rollouts_running += m_state.rollouts.has_running_order(service) ? 1 : 0;
        rollout_share = std::max(rollout_share,
                                 m_state.rollouts.target_share(service, now));
    }
    meter.set("rollouts_running", "Orders to roll out that have not ended.",
              rollouts_running);
    meter.set("rollout_share", "Of requests, that go to the target of one.",
              rollout_share);
    meter.set("holds_duties", "1 while this host holds the duties.",
              m_duties.fencing_token() ? 1 : 0);
}

simple_response gateway::metrics_response()
{
    set_gauges();
    return {http_status::ok, m_state.metrics.render(),
            "text/plain; version=0.0.4"};
}

} // namespace daleshelf
