// What gateways tell each other of themselves, and what is made of it.
#include "peer_exchange.hpp"

#include <algorithm>
#include <base/text.hpp>
#include <base/wall_clock.hpp>
#include <peers/datagram_format.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_named_machines = 4;

} // namespace

void peer_exchange::receive_counts(std::string_view bytes,
                                   const asio::ip::udp::endpoint& sender)
{
    const auto told = decode_window_counts(bytes);
    if (!told)
    {
        return;
    }
    if (!told->is_request)
    {
        m_table.merge_reported_counts(*told);
        if (m_on_counts_told)
        {
            m_on_counts_told(told->window, told->from.host);
        }
        return;
    }
    if (m_state.usage.window_end(told->window) > m_state.time_of_day())
    {
        // The asker's clock is ahead: it asks again.
        return;
    }
    m_table.merge_own_counts(m_state.usage.counts(), m_state.started);
    window_counts answer;
    answer.from = {m_state.self, m_state.started};
    answer.window = told->window;
    answer.counts = m_table.reported_counts(told->window);
    send_datagram(sender, encode(answer));
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
    }
    apply(newest);
}

void peer_exchange::apply(const host_state& state)
{
    const auto now = gateway_state::now();
    m_state.clock.update(state.self.name,
                         absl::FromUnixMillis(state.wall_time_ms), now);
    auto& quota = m_state.quota.shared();
    quota.update_peer({state.self.name, state.hall, state.started,
                       state.is_stopping, state.fleet_size},
                      now);
    for (const auto& machine : state.known_hosts)
    {
        m_table.add_address(machine, now);
        quota.fleet().add_host(machine.name, machine.hall, now);
    }
    absl::flat_hash_map<upstream_id, server_load> loads;
    for (const auto& load : state.loads)
    {
        loads[load.server] = {load.active, load.unread_tokens};
    }
    m_state.choice.set_peer_load(state.self.name, std::move(loads));
    for (const auto& told : state.services)
    {
        if (m_state.settings.learns_engines)
        {
            m_state.engines.of(told.service)
                .set_peer(state.self.name, told.learned);
        }
    }
}

host_state peer_exchange::own_state()
{
    host_state state;
    state.self = {m_state.self, m_state.settings.peers_address};
    state.started = m_state.started;
    state.sequence = ++m_sequence;
    state.hall = m_state.hall;
    state.wall_time_ms = absl::ToUnixMillis(wall_time());
    state.configuration_version =
        m_state.routes ? m_state.routes->configuration().version : 0;
    state.servers_offset = m_topics.servers.next();
    state.is_stopping = m_state.is_stopping;
    state.reaches_store = m_topics.configuration.is_reached();
    for (const auto& [service, load] : m_state.loads)
    {
        state.services.push_back(
            {service, load.work, m_state.engines.of(service).own()});
    }
    for (const auto& [server, load] : m_state.choice.own_loads())
    {
        if (load.active > 0)
        {
            state.loads.push_back({server, load.active, load.unread_tokens});
        }
    }
    m_table.merge_own_counts(m_state.usage.counts(), m_state.started);
    state.counts = m_table.unsettled_windows(m_state.usage.counts());
    state.relayed_counts = m_table.relayed_counts(m_state.started);
    state.known_hosts = some_machines();
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
    const auto seconds = std::min(m_topics.configuration.answer_age_seconds(),
                                  m_topics.servers.answer_age_seconds());
    constexpr double ms_a_second = 1000;
    return static_cast<std::int64_t>(seconds * ms_a_second);
}

// Others at each call, so that all are named in turn.
std::vector<host_address> peer_exchange::some_machines()
{
    const auto& peers = m_table.peers();
    std::vector<host_address> named;
    auto peer = peers.upper_bound(m_last_named);
    for (std::size_t index = 0;
         index < peers.size() && named.size() < most_named_machines; ++index)
    {
        if (peer == peers.end())
        {
            peer = peers.begin();
        }
        m_last_named = peer->first;
        if (peer->second.heard_at != absl::InfinitePast())
        {
            named.push_back(
                {peer->first, peer->second.address, peer->second.state.hall});
        }
        ++peer;
    }
    return named;
}

} // namespace daleshelf
