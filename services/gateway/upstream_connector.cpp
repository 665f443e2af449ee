#include "upstream_connector.hpp"

#include "gateway_state.hpp"
#include "tunnel.hpp"

#include <algorithm>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds connect_timeout{350};
constexpr milliseconds tunnel_timeout{350};
constexpr milliseconds control_timeout{200};
constexpr std::size_t max_controls = 3;
constexpr milliseconds probe_interval{300};
constexpr int max_slow_peers = 2;
// Two peers that cannot connect either: one of them may be cut off itself.
constexpr int min_unreachable_reports = 2;
// Connections that were reset by the cut failed before the first connect did.
constexpr absl::Duration cut_detection_margin = absl::Seconds(1);

} // namespace

upstream_connector::upstream_connector(gateway_state& state) : m_state(state) {}

awaitable<server_connect_result>
upstream_connector::connect(server_entry server, bool is_repeatable,
                            monotonic::time_point deadline)
{
    const auto path = m_links.path_to(server.service);
    server_connect_result result;
    result.connection = m_state.pool.take(server.id, is_repeatable,
                                          path == upstream_path::relayed);
    if (result.connection != nullptr)
    {
        co_return result;
    }
    if (path == upstream_path::none)
    {
        result.error = connect_error::no_path;
        co_return result;
    }
    if (path == upstream_path::relayed)
    {
        co_return co_await connect_through_peer(server, deadline);
    }
    result = co_await connect_directly(
        server, std::min(deadline, monotonic::now() + connect_timeout));
    if (result.connection != nullptr ||
        !m_links.should_ask_peer(server.service, gateway_state::now()))
    {
        co_return result;
    }
    auto relayed = co_await connect_through_peer(server, deadline);
    if (relayed.connection != nullptr)
    {
        co_return relayed;
    }
    co_return result;
}

awaitable<server_connect_result>
upstream_connector::connect_directly(server_entry server,
                                     monotonic::time_point deadline)
{
    auto result = co_await m_state.pool.connect(server, deadline);
    const auto now = gateway_state::now();
    if (result.connection != nullptr)
    {
        m_links.record_connected(server.service, now);
    }
    else
    {
        m_links.record_failed(server.service, server.id,
                              m_state.servers.usable_count(server.service),
                              now);
    }
    co_return result;
}

awaitable<server_connect_result>
upstream_connector::connect_through_peer(server_entry server,
                                         monotonic::time_point deadline)
{
    server_connect_result result;
    relay_peer used;
    auto tunnel = co_await ask_peers(server, deadline, used);
    const auto now = gateway_state::now();
    switch (tunnel.status)
    {
    case tunnel_status::connected:
        handle_relayed(server, used);
        result.connection = std::make_unique<server_connection>();
        result.connection->server = server.id;
        result.connection->relay = used.name;
        result.connection->channel = tunnel.channel;
        break;
    case tunnel_status::upstream_unreachable:
        m_links.record_relay_failed(
            server.service, server.id,
            m_state.servers.usable_count(server.service), now);
        result.error = connect_error::failed;
        break;
    case tunnel_status::peer_unavailable:
        m_links.record_no_relay(server.service, now);
        result.error = connect_error::no_path;
        break;
    }
    start_probing();
    co_return result;
}

// Asks peers, one after the other, until one has connected.
// @param used set to the peer that has
awaitable<tunnel_result>
upstream_connector::ask_peers(server_entry server,
                              monotonic::time_point deadline, relay_peer& used)
{
    tunnel_result last;
    int slow_peers = 0;
    int unreachable_reports = 0;
    const auto peers = m_peers ? m_peers() : std::vector<relay_peer>();
    for (const auto& peer : peers)
    {
        auto result = co_await open_tunnel(
            m_state.context, peer.address, server,
            std::min(deadline, monotonic::now() + tunnel_timeout));
        if (result.status == tunnel_status::connected)
        {
            used = peer;
            co_return result;
        }
        slow_peers += result.is_slow ? 1 : 0;
        if (result.status == tunnel_status::upstream_unreachable)
        {
            ++unreachable_reports;
            last.status = result.status;
        }
        if (slow_peers >= max_slow_peers ||
            unreachable_reports >= min_unreachable_reports)
        {
            break;
        }
    }
    co_return last;
}

void upstream_connector::handle_relayed(const server_entry& server,
                                        const relay_peer& peer)
{
    const auto now = gateway_state::now();
    const auto since = m_links.failing_since(server.service);
    const bool is_new = m_links.record_relayed(server.service, now);
    if (!is_new)
    {
        return;
    }
    m_state.choice.discard_failures(since - cut_detection_margin);
    log(events::upstream_links_cut,
        {{"service", server.service.value()},
         {"failing_ms", std::to_string(absl::ToInt64Milliseconds(now - since))},
         {"peer", peer.name.value()},
         {"scope", m_links.is_partitioned() ? "all_services" : "service"}});
}

void upstream_connector::start_probing()
{
    if (m_is_probing || m_links.impaired_services().empty())
    {
        return;
    }
    m_is_probing = true;
    asio::co_spawn(
        m_state.context, [this] { return probe_links(); }, asio::detached);
}

// Probes in place of requests, which would wait for the result.
awaitable<void> upstream_connector::probe_links()
{
    boot_timer timer(m_state.context);
    while (!m_links.impaired_services().empty())
    {
        timer.expires_after(probe_interval);
        co_await timer.async_wait(use_result);
        const auto services = m_links.impaired_services();
        for (const auto& service : services)
        {
            co_await probe(service);
        }
    }
    m_is_probing = false;
}

awaitable<void> upstream_connector::probe(service_name service)
{
    const auto servers = m_state.servers.usable(service);
    if (servers.empty())
    {
        (void)m_links.record_probe(service, true, gateway_state::now());
        co_return;
    }
    const auto index =
        absl::Uniform(m_state.random, std::size_t{0}, servers.size());
    const auto server = *servers.at(index).entry;
    const bool is_connected = co_await can_connect(server);
    const auto now = gateway_state::now();
    if (m_links.record_probe(service, is_connected, now))
    {
        log(events::upstream_links_restored, {{"service", service.value()}});
    }
    if (!m_links.should_probe_peers(service, now))
    {
        co_return;
    }
    const auto relayed = co_await connect_through_peer(
        server, monotonic::now() + max_slow_peers * tunnel_timeout);
    if (relayed.connection != nullptr)
    {
        relayed.connection->channel->reset();
    }
}

awaitable<bool> upstream_connector::can_connect(server_entry server)
{
    const auto endpoint = parse_endpoint(server.address);
    if (!endpoint)
    {
        co_return false;
    }
    const auto made = co_await connect_channel(
        m_state.context, *endpoint, monotonic::now() + control_timeout);
    if (made.channel == nullptr)
    {
        co_return false;
    }
    made.channel->close();
    co_return true;
}

awaitable<bool> upstream_connector::has_failed(server_entry server)
{
    const bool is_usable = co_await are_links_usable(server);
    if (!is_usable)
    {
        co_return false;
    }
    relay_peer used;
    const auto tunnel =
        co_await ask_peers(server, monotonic::now() + tunnel_timeout, used);
    if (tunnel.channel != nullptr)
    {
        tunnel.channel->reset();
    }
    co_return tunnel.status != tunnel_status::connected;
}

// Without another upstream nothing distinguishes the two, and the links count
// as usable.
awaitable<bool> upstream_connector::are_links_usable(server_entry failed)
{
    const auto controls = control_servers(failed.id);
    for (const auto& control : controls)
    {
        const bool is_connected = co_await can_connect(control);
        if (is_connected)
        {
            co_return true;
        }
    }
    co_return controls.empty();
}

// @return some upstreams of all services, other than the excluded one
std::vector<server_entry>
upstream_connector::control_servers(const upstream_id& excluded) const
{
    std::vector<server_entry> controls;
    if (m_state.routes == nullptr)
    {
        return controls;
    }
    std::vector<const server_entry*> candidates;
    for (const auto& service : m_state.routes->configuration().services)
    {
        for (const auto& server : m_state.servers.usable(service.name))
        {
            if (server.entry->id != excluded)
            {
                candidates.push_back(server.entry);
            }
        }
    }
    std::vector<const server_entry*> picked;
    std::sample(candidates.begin(), candidates.end(),
                std::back_inserter(picked), max_controls, m_state.random);
    std::transform(picked.begin(), picked.end(), std::back_inserter(controls),
                   [](const auto* entry) { return *entry; });
    return controls;
}

void upstream_connector::record_response(const service_name& service)
{
    m_links.record_response(service, gateway_state::now());
}

void upstream_connector::keep(std::unique_ptr<server_connection> connection)
{
    m_state.pool.keep(std::move(connection));
}

} // namespace daleshelf
