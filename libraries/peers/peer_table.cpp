#include "peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <base/text.hpp>
#include <tuple>

namespace daleshelf
{

namespace
{

// Counts of one start and window, told with each state: with 16 workspaces they
// are 0.25 KB, of 32 states a second. When all windows of eight starts were
// told, 27 KB, the links of 10 Mbit/s of a fleet that restarted in turn were
// full, and half of all datagrams were lost.
constexpr std::size_t most_ended_told = 4;
// Older windows have been settled: a window is due within twice its length.
constexpr std::size_t told_windows = 3;
// Of one window, told by each machine that is asked: a start that has ended is
// told by many of them.
constexpr std::size_t most_ended_answered = 4;
constexpr std::size_t readers_a_hall = 2;
// A host that is listed and lives has told its state within one turn of it.
constexpr double expected_turns = 1.5;

// @param next how many were taken at earlier calls; those taken are added
// @return some of the items, others at each call
template <typename Item>
std::vector<Item> some_in_turn(const std::vector<Item>& items, std::size_t most,
                               std::size_t& next)
{
    std::vector<Item> some;
    const auto size = std::min(items.size(), most);
    for (std::size_t index = 0; index < size; ++index)
    {
        some.push_back(items[(next + index) % items.size()]);
    }
    next += size;
    return some;
}

std::uint64_t reader_rank(const host_id& machine)
{
    return XXH3_64bits(machine.value().data(), machine.value().size());
}

// By a hash: names in order would let the first machines of a hall read for
// good.
void keep_first_readers(std::vector<host_id>& able)
{
    std::sort(able.begin(), able.end(),
              [](const host_id& left, const host_id& right)
              { return reader_rank(left) < reader_rank(right); });
    able.resize(std::min(able.size(), readers_a_hall));
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
        peer.state.hall = machine.hall;
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
    const auto age = peer.state.store_answer_age_ms;
    peer.store_answered_at =
        age < 0 ? absl::InfinitePast() : now - absl::Milliseconds(age);
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
        if (has_left || now - last > forget_time())
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

std::vector<std::string> peer_table::next_in_turn()
{
    const auto count = std::min(m_peers.size(),
                                static_cast<std::size_t>(m_options.many_peers));
    std::vector<std::string> addresses;
    if (m_peers.empty())
    {
        return addresses;
    }
    // How far the turn has come is counted from the machine's own name, not
    // kept as the name told last: while few are known those are the same few.
    auto peer = m_peers.upper_bound(m_self.name);
    m_turn %= m_peers.size();
    for (std::size_t step = 0; step < m_turn + count; ++step)
    {
        if (peer == m_peers.end())
        {
            peer = m_peers.begin();
        }
        if (step >= m_turn)
        {
            addresses.push_back(peer->second.address);
        }
        ++peer;
    }
    m_turn += count;
    return addresses;
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
        if (peer.state.hall == own_hall && may_read(name, now))
        {
            able.push_back(name);
        }
    }
    keep_first_readers(able);
    return able;
}

std::vector<host_id> peer_table::readers_elsewhere(absl::Time now) const
{
    std::map<hall_id, std::vector<host_id>> able;
    for (const auto& [name, peer] : m_peers)
    {
        if (may_read(name, now))
        {
            able[peer.state.hall].push_back(name);
        }
    }
    std::vector<host_id> readers;
    for (auto& [hall, machines] : able)
    {
        keep_first_readers(machines);
        readers.insert(readers.end(), machines.begin(), machines.end());
    }
    return readers;
}

bool peer_table::may_read(const host_id& peer, absl::Time now) const
{
    const auto& known = m_peers.at(peer);
    if (known.heard_at == absl::InfinitePast())
    {
        // Hosts that start together choose alike from the first list on: 176
        // of 295 read for their halls otherwise, until they had heard others.
        return !known.state.hall.value().empty() &&
               now - known.listed_at <= send_pause() * expected_turns;
    }
    const auto& state = known.state;
    return state.reaches_store && !state.is_stopping && is_in_reach(peer, now);
}

// The configuration goes first. Then a peer of the own hall: lists that 295
// hosts fetched from any hall were 0.9 GB between halls within 50 s. Then the
// one heard last, which is the likeliest to be there still: one that has died
// is believed to be in reach for three and a half turns, 32 s in a fleet of
// 295.
std::optional<news_source> peer_table::source_of_news(const known_records& own,
                                                      absl::Time now) const
{
    std::optional<news_source> source;
    using rank = std::tuple<bool, bool, absl::Time>;
    std::optional<rank> best;
    for (const auto& [name, peer] : m_peers)
    {
        const known_records known{peer.state.configuration_version,
                                  peer.state.servers_offset};
        const bool has_configuration =
            known.configuration_version > own.configuration_version;
        const bool has_servers = known.servers_offset > own.servers_offset;
        if (!is_in_reach(name, now) || !(has_configuration || has_servers))
        {
            continue;
        }
        const rank found{has_configuration, peer.state.hall == m_self.hall,
                         peer.heard_at};
        if (best && found <= *best)
        {
            continue;
        }
        best = found;
        const auto topic = has_configuration ? shared_topic::configuration
                                             : shared_topic::servers;
        source = news_source{topic, peer.address, known};
    }
    return source;
}

absl::Time peer_table::store_answered_at() const
{
    auto newest = absl::InfinitePast();
    for (const auto& [name, peer] : m_peers)
    {
        newest = std::max(newest, peer.store_answered_at);
    }
    return newest;
}

bool peer_table::is_heard_lately(const host_id& peer, absl::Time now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           now - found->second.heard_at <= m_options.reach_time;
}

absl::Duration peer_table::reach_time() const
{
    constexpr double datagrams_missed = 3.5;
    return std::max(m_options.reach_time, send_pause() * datagrams_missed);
}

// In a fleet of 580 a peer's state comes every 18 s: it is not forgotten
// between two of them, nor for one that is lost.
absl::Duration peer_table::forget_time() const
{
    return std::max(m_options.forget_time, reach_time());
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
    std::int64_t total = 0;
    std::size_t starts = 0;
    for (const auto& [start, windows] : m_counts.entries())
    {
        const auto found = windows.find(window);
        if (found == windows.end())
        {
            continue;
        }
        ++starts;
        for (const auto& [tenant, count] : found->second)
        {
            total += count;
        }
    }
    return concat(total, " requests, told of by ", starts, " starts");
}

// Starts that do not tell their counts by themselves any more.
std::vector<counting_start>
peer_table::ended_starts(incarnation own_start) const
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
    return ended;
}

std::map<counting_start, counts_by_window>
peer_table::ended_counts(incarnation own_start) const
{
    struct ended_window
    {
        counting_start start;
        std::int64_t window;
    };
    std::vector<ended_window> ended;
    for (const auto& start : ended_starts(own_start))
    {
        const auto recent = newest_windows(m_counts.entries().at(start));
        for (const auto& [window, counts] : recent)
        {
            ended.push_back({start, window});
        }
    }
    // A datagram holds some of them; the others follow with the next ones.
    std::map<counting_start, counts_by_window> told;
    for (const auto& [start, window] :
         some_in_turn(ended, most_ended_told, m_next_ended))
    {
        told[start][window] = m_counts.entries().at(start).at(window);
    }
    return told;
}

counts_by_window
peer_table::newest_windows(const counts_by_window& counts) const
{
    const auto newest = m_counts.newest_window();
    const auto oldest = newest - static_cast<std::int64_t>(told_windows) + 1;
    return {counts.lower_bound(oldest), counts.end()};
}

void peer_table::note_told_counts(const window_counts& told)
{
    for (const auto& [start, counts] : told.counts)
    {
        m_counts.merge(start, {{told.window, counts}});
    }
}

std::map<counting_start, tenant_counts>
peer_table::told_counts(std::int64_t window) const
{
    std::map<counting_start, tenant_counts> told;
    const auto tell = [&](const counting_start& start)
    {
        const auto& entries = m_counts.entries();
        const auto windows = entries.find(start);
        if (windows == entries.end())
        {
            return;
        }
        const auto counts = windows->second.find(window);
        if (counts != windows->second.end())
        {
            told[start] = counts->second;
        }
    };
    tell({m_self.name, m_started});
    for (const auto& start : some_in_turn(ended_starts(m_started),
                                          most_ended_answered, m_next_ended))
    {
        tell(start);
    }
    return told;
}

bool peer_table::is_in_reach(const host_id& peer, absl::Time now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           now - found->second.heard_at <= reach_time();
}

} // namespace daleshelf
