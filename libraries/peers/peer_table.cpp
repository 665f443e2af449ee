#include "peer_table.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_windows = 8;
constexpr std::size_t most_departed = 256;

void add_counts(window_counts& total, const window_counts& added)
{
    for (const auto& [tenant, count] : added)
    {
        total[tenant] += count;
    }
}

} // namespace

peer_table::peer_table(machine_address self, const peer_options& options)
    : m_self(std::move(self)), m_options(options)
{
}

void peer_table::add_address(const machine_address& machine, absl::Time now)
{
    if (machine.name == m_self.name || machine.address == m_self.address)
    {
        return;
    }
    auto& peer = m_peers[machine.name];
    if (peer.heard_at == absl::InfinitePast())
    {
        peer.address = machine.address;
        if (peer.listed_at == absl::InfinitePast())
        {
            peer.listed_at = now;
        }
    }
}

peer_change peer_table::receive(machine_state state, absl::Time now)
{
    peer_change change;
    if (state.self.name == m_self.name)
    {
        return change;
    }
    // A machine that was only cut off tells its counts by itself.
    m_departed.erase({state.self.name, state.started});
    auto& peer = m_peers[state.self.name];
    const bool is_known = peer.heard_at != absl::InfinitePast();
    const bool is_same_start = is_known && peer.state.started == state.started;
    const bool is_older =
        is_known && (state.started < peer.state.started ||
                     (is_same_start && state.sequence <= peer.state.sequence));
    if (is_older)
    {
        return change;
    }
    change.is_news = true;
    for (const auto& [tenant, used] : state.uses)
    {
        // What a machine used before it was first heard may be long ago.
        const auto known = peer.state.uses.find(tenant);
        const auto before =
            known == peer.state.uses.end() ? 0.0 : known->second;
        const auto added = is_same_start ? used - before : used;
        if ((is_same_start || is_known) && added != 0)
        {
            change.new_use[tenant] = added;
        }
    }
    if (is_known && !is_same_start)
    {
        for (const auto& [window, counts] : peer.state.counts)
        {
            add_counts(peer.earlier_counts[window], counts);
        }
    }
    while (peer.earlier_counts.size() > most_windows)
    {
        peer.earlier_counts.erase(peer.earlier_counts.begin());
    }
    peer.address = state.self.address;
    peer.state = std::move(state);
    peer.heard_at = now;
    drop_seed(peer.address);
    return change;
}

// Requests that a machine has begun count, whatever became of it.
void peer_table::keep_counts(const host_id& name, const peer_record& peer)
{
    auto& kept = m_departed[{name, peer.state.started}];
    for (const auto* counts : {&peer.state.counts, &peer.earlier_counts})
    {
        for (const auto& [window, by_tenant] : *counts)
        {
            add_counts(kept[window], by_tenant);
        }
    }
    while (m_departed.size() > most_departed)
    {
        m_departed.erase(m_departed.begin());
    }
}

// A seed's address stands for its name until the machine there is heard.
void peer_table::drop_seed(const std::string& address)
{
    const auto seed = m_peers.find(host_id(address));
    if (seed != m_peers.end() && seed->second.heard_at == absl::InfinitePast())
    {
        m_peers.erase(seed);
    }
}

std::vector<host_id> peer_table::forget_silent(absl::Time now)
{
    std::vector<host_id> forgotten;
    for (const auto& [name, peer] : m_peers)
    {
        const auto last = std::max(peer.heard_at, peer.listed_at);
        const bool has_left =
            peer.state.is_stopping && now - last > m_options.reach_time;
        if (has_left || now - last > m_options.forget_time)
        {
            forgotten.push_back(name);
        }
    }
    for (const auto& name : forgotten)
    {
        keep_counts(name, m_peers.at(name));
        m_peers.erase(name);
    }
    return forgotten;
}

std::size_t peer_table::reached(absl::Time now) const
{
    std::size_t in_reach = 1;
    for (const auto& [name, peer] : m_peers)
    {
        if (now - peer.heard_at <= m_options.reach_time)
        {
            ++in_reach;
        }
    }
    return in_reach;
}

window_counts peer_table::counts_of(std::int64_t window) const
{
    window_counts total;
    for (const auto& [name, windows] : m_departed)
    {
        const auto found = windows.find(window);
        if (found != windows.end())
        {
            add_counts(total, found->second);
        }
    }
    for (const auto& [name, peer] : m_peers)
    {
        for (const auto* counts : {&peer.state.counts, &peer.earlier_counts})
        {
            const auto found = counts->find(window);
            if (found != counts->end())
            {
                add_counts(total, found->second);
            }
        }
    }
    return total;
}

bool peer_table::is_in_reach(const host_id& peer, absl::Time now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           now - found->second.heard_at <= m_options.reach_time;
}

} // namespace daleshelf
