#include "peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_ended_told = 8;
constexpr std::size_t readers_a_hall = 2;

std::uint64_t reader_rank(const host_id& machine)
{
    return XXH3_64bits(machine.value().data(), machine.value().size());
}

} // namespace

peer_table::peer_table(machine_address self, incarnation started,
                       const peer_options& options)
    : m_self(std::move(self)), m_started(started), m_options(options)
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
    m_counts.merge({state.self.name, state.started}, state.counts);
    for (const auto& [start, counts] : state.ended_counts)
    {
        m_counts.merge(start, counts);
    }
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
    change.is_start = !is_same_start;
    peer.address = state.self.address;
    peer.state = std::move(state);
    peer.heard_at = now;
    drop_seed(peer.address);
    return change;
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
            peer.state.is_stopping && now - last > reach_time();
        if (has_left || now - last > m_options.forget_time)
        {
            forgotten.push_back(name);
        }
    }
    for (const auto& name : forgotten)
    {
        m_peers.erase(name);
    }
    return forgotten;
}

absl::Duration peer_table::send_pause() const
{
    const auto peers = static_cast<double>(m_peers.size());
    return m_options.send_pause * std::max(1.0, peers / m_options.many_peers);
}

bool peer_table::tells_all_at_once() const
{
    return static_cast<double>(m_peers.size()) <= m_options.many_peers;
}

std::vector<host_id> peer_table::readers_of(const hall_id& own_hall,
                                            bool reaches_store,
                                            absl::Time now) const
{
    std::vector<host_id> able;
    if (reaches_store)
    {
        able.push_back(m_self.name);
    }
    for (const auto& [name, peer] : m_peers)
    {
        if (peer.state.hall == own_hall && peer.state.reaches_store &&
            !peer.state.is_stopping && is_in_reach(name, now))
        {
            able.push_back(name);
        }
    }
    // By a hash: names in order would let the first machines of a hall do it
    // for good.
    std::sort(able.begin(), able.end(),
              [](const host_id& left, const host_id& right)
              { return reader_rank(left) < reader_rank(right); });
    able.resize(std::min(able.size(), readers_a_hall));
    return able;
}

absl::Duration peer_table::reach_time() const
{
    constexpr double datagrams_missed = 3.5;
    return std::max(m_options.reach_time, send_pause() * datagrams_missed);
}

std::size_t peer_table::reached(absl::Time now) const
{
    std::size_t in_reach = 1;
    for (const auto& [name, peer] : m_peers)
    {
        if (now - peer.heard_at <= reach_time())
        {
            ++in_reach;
        }
    }
    return in_reach;
}

void peer_table::note_own_counts(const counts_by_window& counts,
                                 incarnation started)
{
    m_counts.merge({m_self.name, started}, counts);
    if (!counts.empty())
    {
        constexpr std::int64_t kept_windows = 6;
        m_counts.forget_before(counts.rbegin()->first - kept_windows);
    }
}

std::string peer_table::describe_counts(std::int64_t window) const
{
    std::string text;
    for (const auto& [start, windows] : m_counts.entries())
    {
        const auto found = windows.find(window);
        if (found == windows.end())
        {
            continue;
        }
        std::int64_t total = 0;
        for (const auto& [tenant, count] : found->second)
        {
            total += count;
        }
        append_text(text, text.empty() ? "" : " ", start.machine.value(), "@",
                    start.started.value(), "=", total);
    }
    return text;
}

std::map<counting_start, counts_by_window>
peer_table::ended_counts(incarnation own_start) const
{
    std::vector<counting_start> ended;
    for (const auto& [start, counts] : m_counts.entries())
    {
        const bool is_own =
            start.machine == m_self.name && start.started == own_start;
        const auto peer = m_peers.find(start.machine);
        const bool is_telling = peer != m_peers.end() &&
                                peer->second.state.started == start.started;
        if (!is_own && !is_telling)
        {
            ended.push_back(start);
        }
    }
    // A datagram holds some of them; the others follow with the next ones.
    std::map<counting_start, counts_by_window> told;
    const auto size = std::min(ended.size(), most_ended_told);
    for (std::size_t index = 0; index < size; ++index)
    {
        const auto& start = ended[(m_next_ended + index) % ended.size()];
        told[start] = m_counts.entries().at(start);
    }
    m_next_ended += size;
    return told;
}

bool peer_table::is_in_reach(const host_id& peer, absl::Time now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           now - found->second.heard_at <= reach_time();
}

} // namespace daleshelf
