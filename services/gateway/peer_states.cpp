// State and usage counts that gateways send each other, and their processing.
#include "peer_exchange.hpp"

#include <algorithm>
#include <base/text.hpp>
#include <base/wall_clock.hpp>
#include <peers/datagram_format.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t max_announced_hosts = 4;
// 0.7 KB of a state, a sixth of its bound.
constexpr std::size_t max_reported_speeds = 24;
constexpr std::size_t max_relay_candidates = 16;
constexpr std::size_t max_relay_attempts = 4;

} // namespace

void peer_exchange::receive_counts(std::string_view bytes,
                                   const asio::ip::udp::endpoint& sender)
{
    const auto reported = decode_window_counts(bytes);
    if (!reported)
    {
        return;
    }
    if (!reported->is_request)
    {
        m_table.merge_reported_counts(*reported);
        if (m_on_counts)
        {
            m_on_counts(reported->window, reported->from.host);
        }
        return;
    }
    if (m_state.usage.window_end(reported->window) > m_state.time_of_day())
    {
        // The requester's clock is ahead; it will repeat the request.
        return;
    }
    m_table.merge_own_counts(m_state.usage.counts(), m_state.own_incarnation);
    window_counts response;
    response.from = {m_state.self, m_state.own_incarnation};
    response.window = reported->window;
    response.counts = m_table.reported_counts(reported->window);
    send_datagram(sender, encode(response));
}

void peer_exchange::receive_state(std::string_view bytes)
{
    auto state = decode_host_state(bytes);
    if (!state)
    {
        return;
    }
    const auto now = gateway_state::now();
    const auto name = state->self.name;
    const auto change = m_table.receive(std::move(*state), now);
    if (!change.is_newer)
    {
        return;
    }
    const auto& newest = m_table.peers().at(name).state;
    if (change.is_new_incarnation)
    {
        m_joined.add(concat(name.value(), "=", newest.self.address));
        for (const auto& listener : m_on_peer_start)
        {
            listener(newest.self.address);
        }
        m_state.origins.send_kept({name, newest.hall, absl::ZeroDuration()});
    }
    apply(newest);
}

void peer_exchange::apply(const host_state& state)
{
    const auto now = gateway_state::now();
    if (state.is_stopping)
    {
        m_state.pool.drop_relayed_by(state.self.name);
    }
    m_state.clock.update(state.self.name,
                         absl::FromUnixMillis(state.wall_time_ms), now);
    auto& quota = m_state.quota.shared();
    quota.update_peer({state.self.name, state.hall, state.started,
                       state.is_stopping, state.fleet_size},
                      now);
    for (const auto& known_host : state.known_hosts)
    {
        m_table.add_address(known_host, now);
        quota.fleet().add_host(known_host.name, known_host.hall, now);
    }
    server_loads loads;
    for (const auto& load : state.loads)
    {
        loads[load.server] = {load.active, load.unread_tokens};
    }
    m_state.choice.loads().set_peer_loads(state.self.name, std::move(loads));
    for (const auto& speed : state.speeds)
    {
        const auto* listed = m_state.servers.find(speed.server);
        const bool is_known = listed != nullptr &&
                              listed->started_at == speed.started_at &&
                              speed.age_ms >= 0;
        if (!is_known)
        {
            continue;
        }
        m_state.choice.speeds().merge({{speed.server, speed.started_at},
                                       speed.slowdown,
                                       now - absl::Milliseconds(speed.age_ms)});
    }
    for (const auto& reported : state.services)
    {
        if (m_state.settings.learns_engines)
        {
            m_state.engines.model_of(reported.service)
                .set_peer_estimate(state.self.name, reported.learned);
        }
    }
}

std::vector<relay_peer> peer_exchange::relay_peers() const
{
    std::vector<const peer_record*> usable;
    const auto now = gateway_state::now();
    for (const auto& [name, peer] : m_table.peers())
    {
        if (m_table.is_reachable(name, now) && !peer.state.is_stopping &&
            !peer.state.is_partitioned)
        {
            usable.push_back(&peer);
        }
    }
    // In a large fleet most states are old. The newest ones come from peers
    // that are running and can be reached.
    const auto kept = std::min(usable.size(), max_relay_candidates);
    std::partial_sort(usable.begin(),
                      usable.begin() + static_cast<std::ptrdiff_t>(kept),
                      usable.end(),
                      [](const auto* left, const auto* right)
                      { return left->heard_at > right->heard_at; });
    usable.resize(kept);
    std::shuffle(usable.begin(), usable.end(), m_state.random);
    usable.resize(std::min(usable.size(), max_relay_attempts));
    std::vector<relay_peer> peers;
    std::transform(usable.begin(), usable.end(), std::back_inserter(peers),
                   [](const auto* peer) -> relay_peer {
                       return {peer->state.self.name, peer->address};
                   });
    return peers;
}

host_state peer_exchange::own_state()
{
    host_state state;
    state.self = {m_state.self, m_state.settings.peers_address};
    state.started = m_state.own_incarnation;
    state.sequence = ++m_sequence;
    state.hall = m_state.hall;
    state.wall_time_ms = absl::ToUnixMillis(wall_time());
    state.configuration_version =
        m_state.routes ? m_state.routes->configuration().version : 0;
    state.servers_offset = m_topics.servers.next();
    state.is_stopping = m_state.is_stopping;
    state.is_partitioned = m_state.upstreams.links().is_partitioned();
    state.reaches_store = m_topics.configuration.is_store_reachable();
    for (const auto& [service, load] : m_state.loads)
    {
        state.services.push_back(
            {service, load.work,
             m_state.engines.model_of(service).local_estimate()});
    }
    for (const auto& [server, load] : m_state.choice.loads().own_loads())
    {
        if (load.active > 0)
        {
            state.loads.push_back({server, load.active, load.unread_tokens});
        }
    }
    const auto now = gateway_state::now();
    for (const auto& observed : m_state.choice.speeds().recent_own(
             now - m_table.send_interval(), max_reported_speeds))
    {
        state.speeds.push_back(
            {observed.server.id, observed.server.started_at, observed.slowdown,
             absl::ToInt64Milliseconds(now - observed.observed_at)});
    }
    m_table.merge_own_counts(m_state.usage.counts(), m_state.own_incarnation);
    state.counts = m_table.unsettled_windows(m_state.usage.counts());
    state.relayed_counts = m_table.relayed_counts(m_state.own_incarnation);
    state.known_hosts = next_known_hosts();
    state.fleet_size =
        static_cast<std::int64_t>(m_state.quota.shared().fleet_size());
    state.duty_holder = m_duty.holder;
    state.duty_token = m_duty.token;
    state.released_token = m_duty.released_token;
    state.store_answer_age_ms = store_answer_age_ms();
    return state;
}

std::int64_t peer_exchange::store_answer_age_ms() const
{
    const auto seconds = std::min(m_topics.configuration.response_age_seconds(),
                                  m_topics.servers.response_age_seconds());
    constexpr double ms_per_second = 1000;
    return static_cast<std::int64_t>(seconds * ms_per_second);
}

// Returns different hosts at each call, so that all are announced in turn.
std::vector<host_address> peer_exchange::next_known_hosts()
{
    const auto& peers = m_table.peers();
    std::vector<host_address> announced;
    auto peer = peers.upper_bound(m_last_announced);
    for (std::size_t index = 0;
         index < peers.size() && announced.size() < max_announced_hosts;
         ++index)
    {
        if (peer == peers.end())
        {
            peer = peers.begin();
        }
        m_last_announced = peer->first;
        if (peer->second.heard_at != absl::InfinitePast())
        {
            announced.push_back(
                {peer->first, peer->second.address, peer->second.state.hall});
        }
        ++peer;
    }
    return announced;
}

// Returns the other known hosts. Those that were listed and not heard yet may
// run: this host has just started.
std::vector<slot_host> peer_exchange::slot_hosts() const
{
    std::vector<slot_host> hosts;
    if (!m_state.slots.needs_peers())
    {
        return hosts;
    }
    const auto now = gateway_state::now();
    for (const auto& [name, peer] : m_table.peers())
    {
        if (peer.state.hall.value().empty())
        {
            continue;
        }
        const bool is_reachable = peer.heard_at == absl::InfinitePast() ||
                                  m_table.is_reachable(name, now);
        hosts.push_back({name, peer.state.hall, is_reachable});
    }
    return hosts;
}

} // namespace daleshelf
