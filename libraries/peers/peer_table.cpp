#include "peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <base/text.hpp>
#include <tuple>

namespace daleshelf
{

namespace
{

// Limits the relayed counts in each state, in pairs of incarnation and window.
// A pair with 16 workspaces takes 0.25 KB, and a host sends 32 states per
// second. Relaying all windows of eight incarnations (27 KB) saturated links of
// 10 Mbit/s during a rolling restart, and half of all datagrams were lost.
constexpr std::size_t max_relayed_windows = 4;
// Older windows are settled: a window is due within twice its length.
constexpr std::size_t unsettled_window_count = 3;
// Limits the relayed incarnations in the response for one window. Several hosts
// relay the same incarnation, so each needs to return only a few.
constexpr std::size_t max_relayed_incarnations = 4;
constexpr std::size_t readers_per_hall = 2;
// A listed host that is running has sent its state to all peers within one
// round.
constexpr double rounds_until_heard = 1.5;

// @param next rotation offset; advanced by the number of returned items
// @return at most `limit` of the items, rotating between calls
template <typename Item>
std::vector<Item> rotating_subset(const std::vector<Item>& items,
                                  std::size_t limit, std::size_t& next)
{
    std::vector<Item> subset;
    const auto size = std::min(items.size(), limit);
    for (std::size_t index = 0; index < size; ++index)
    {
        subset.push_back(items[(next + index) % items.size()]);
    }
    next += size;
    return subset;
}

std::uint64_t reader_rank(const host_id& host)
{
    return XXH3_64bits(host.value().data(), host.value().size());
}

// Orders candidates by a hash of their names. In name order the same hosts of a
// hall would always be the readers.
void select_readers(std::vector<host_id>& candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const host_id& left, const host_id& right)
              { return reader_rank(left) < reader_rank(right); });
    candidates.resize(std::min(candidates.size(), readers_per_hall));
}

} // namespace

peer_table::peer_table(host_address self, incarnation started,
                       const peer_options& options)
    : m_self(std::move(self)), m_started(started), m_options(options)
{
}

void peer_table::add_address(const host_address& host, absl::Time now)
{
    if (host.name == m_self.name || host.address == m_self.address)
    {
        return;
    }
    auto& peer = m_peers[host.name];
    if (peer.heard_at == absl::InfinitePast())
    {
        peer.address = host.address;
        peer.state.hall = host.hall;
        if (peer.listed_at == absl::InfinitePast())
        {
            peer.listed_at = now;
        }
    }
}

peer_change peer_table::receive(host_state state, absl::Time now)
{
    peer_change change;
    if (state.self.name == m_self.name)
    {
        return change;
    }
    m_counts.merge({state.self.name, state.started}, state.counts);
    for (const auto& [origin, counts] : state.relayed_counts)
    {
        m_counts.merge(origin, counts);
    }
    auto& peer = m_peers[state.self.name];
    const bool is_known = peer.heard_at != absl::InfinitePast();
    const bool is_same_incarnation =
        is_known && peer.state.started == state.started;
    const bool is_older =
        is_known &&
        (state.started < peer.state.started ||
         (is_same_incarnation && state.sequence <= peer.state.sequence));
    if (is_older)
    {
        return change;
    }
    change.is_newer = true;
    change.is_new_incarnation = !is_same_incarnation;
    peer.address = state.self.address;
    peer.state = std::move(state);
    peer.heard_at = now;
    const auto age = peer.state.store_answer_age_ms;
    peer.store_answered_at =
        age < 0 ? absl::InfinitePast() : now - absl::Milliseconds(age);
    drop_seed(peer.address);
    return change;
}

// A seed is stored under its address until a state from that address arrives.
void peer_table::drop_seed(const std::string& address)
{
    const auto seed = m_peers.find(host_id(address));
    if (seed != m_peers.end() && seed->second.heard_at == absl::InfinitePast())
    {
        m_peers.erase(seed);
    }
}

std::vector<host_id> peer_table::evict_silent(absl::Time now)
{
    std::vector<host_id> evicted;
    for (const auto& [name, peer] : m_peers)
    {
        const auto last = std::max(peer.heard_at, peer.listed_at);
        const bool has_left =
            peer.state.is_stopping && now - last > reach_timeout();
        if (has_left || now - last > eviction_timeout())
        {
            evicted.push_back(name);
        }
    }
    for (const auto& name : evicted)
    {
        m_peers.erase(name);
    }
    return evicted;
}

absl::Duration peer_table::send_interval() const
{
    const auto peers = static_cast<double>(m_peers.size());
    return m_options.send_interval *
           std::max(1.0, peers / m_options.peers_per_tick);
}

std::vector<std::string> peer_table::next_targets()
{
    const auto count = std::min(
        m_peers.size(), static_cast<std::size_t>(m_options.peers_per_tick));
    std::vector<std::string> addresses;
    if (m_peers.empty())
    {
        return addresses;
    }
    // The position is a count from this host's own name. If it were the name of
    // the last target, all hosts would continue from the same few names after a
    // time in which only a few peers were known.
    auto peer = m_peers.upper_bound(m_self.name);
    m_round_position %= m_peers.size();
    for (std::size_t step = 0; step < m_round_position + count; ++step)
    {
        if (peer == m_peers.end())
        {
            peer = m_peers.begin();
        }
        if (step >= m_round_position)
        {
            addresses.push_back(peer->second.address);
        }
        ++peer;
    }
    m_round_position += count;
    return addresses;
}

bool peer_table::sends_to_all_peers() const
{
    return static_cast<double>(m_peers.size()) <= m_options.peers_per_tick;
}

std::vector<host_id> peer_table::readers_of(const hall_id& own_hall,
                                            bool reaches_store,
                                            const reader_monitor& monitor,
                                            absl::Time now) const
{
    std::vector<host_id> candidates;
    if (reaches_store)
    {
        candidates.push_back(m_self.name);
    }
    for (const auto& [name, peer] : m_peers)
    {
        if (peer.state.hall == own_hall && !monitor.is_suspected(name, now) &&
            is_reader_candidate(name, now))
        {
            candidates.push_back(name);
        }
    }
    select_readers(candidates);
    return candidates;
}

std::size_t peer_table::reader_position() const
{
    const auto own_rank = reader_rank(m_self.name);
    const auto hosts = hosts_of_hall();
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(),
        [&](const auto& host) { return reader_rank(host) < own_rank; }));
}

std::vector<host_id> peer_table::hosts_by_reader_rank() const
{
    auto hosts = hosts_of_hall();
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& left, const auto& right)
              { return reader_rank(left) < reader_rank(right); });
    return hosts;
}

std::vector<host_id> peer_table::hosts_of_hall() const
{
    std::vector<host_id> hosts;
    for (const auto& [name, peer] : m_peers)
    {
        if (peer.state.hall == m_self.hall)
        {
            hosts.push_back(name);
        }
    }
    return hosts;
}

std::vector<host_id> peer_table::other_readers(absl::Time now) const
{
    std::map<hall_id, std::vector<host_id>> candidates;
    for (const auto& [name, peer] : m_peers)
    {
        if (is_reader_candidate(name, now))
        {
            candidates[peer.state.hall].push_back(name);
        }
    }
    std::vector<host_id> readers;
    for (auto& [hall, hosts] : candidates)
    {
        select_readers(hosts);
        readers.insert(readers.end(), hosts.begin(), hosts.end());
    }
    return readers;
}

bool peer_table::is_reader_candidate(const host_id& peer, absl::Time now) const
{
    const auto& known = m_peers.at(peer);
    if (known.heard_at == absl::InfinitePast())
    {
        // Listed hosts are candidates before their first state, so that hosts
        // that start together choose the same readers from the first list on.
        // Otherwise 176 of 295 hosts became readers until they had heard from
        // the others.
        return !known.state.hall.value().empty() &&
               now - known.listed_at <= send_interval() * rounds_until_heard;
    }
    const auto& state = known.state;
    return state.reaches_store && !state.is_stopping && is_reachable(peer, now);
}

// Peers with a newer configuration rank first, then those of the own hall: when
// 295 hosts fetched lists from any hall, 0.9 GB crossed between halls within
// 50 s. The peer heard most recently comes next, as it is the most likely to be
// running: a crashed peer stays reachable for 3.5 rounds, 32 s with 295 hosts.
std::optional<record_source>
peer_table::source_of_newer_records(const topic_positions& own,
                                    absl::Time now) const
{
    std::optional<record_source> source;
    using rank = std::tuple<bool, bool, absl::Time>;
    std::optional<rank> best;
    for (const auto& [name, peer] : m_peers)
    {
        const topic_positions positions{peer.state.configuration_version,
                                        peer.state.servers_offset};
        const bool has_newer_configuration =
            positions.configuration_version > own.configuration_version;
        const bool has_newer_servers =
            positions.servers_offset > own.servers_offset;
        if (!is_reachable(name, now) ||
            !(has_newer_configuration || has_newer_servers))
        {
            continue;
        }
        const rank found{has_newer_configuration,
                         peer.state.hall == m_self.hall, peer.heard_at};
        if (best && found <= *best)
        {
            continue;
        }
        best = found;
        const auto topic = has_newer_configuration ? shared_topic::configuration
                                                   : shared_topic::servers;
        source = record_source{topic, peer.address, positions};
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

bool peer_table::is_heard_recently(const host_id& peer, absl::Time now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           now - found->second.heard_at <= m_options.reach_timeout;
}

absl::Duration peer_table::reach_timeout() const
{
    constexpr double missed_datagrams = 3.5;
    return std::max(m_options.reach_timeout,
                    send_interval() * missed_datagrams);
}

// In a fleet of 580 hosts, the states of a peer are 18 s apart. A peer must not
// be evicted between two of them, or because one is lost.
absl::Duration peer_table::eviction_timeout() const
{
    return std::max(m_options.eviction_timeout, reach_timeout());
}

std::size_t peer_table::reachable_count(absl::Time now) const
{
    std::size_t reachable = 1;
    for (const auto& [name, peer] : m_peers)
    {
        if (now - peer.heard_at <= reach_timeout())
        {
            ++reachable;
        }
    }
    return reachable;
}

void peer_table::merge_own_counts(const counts_by_window& counts,
                                  incarnation started)
{
    m_counts.merge({m_self.name, started}, counts);
    if (!counts.empty())
    {
        constexpr std::int64_t kept_windows = 6;
        m_counts.evict_before(counts.rbegin()->first - kept_windows);
    }
}

std::string peer_table::describe_counts(std::int64_t window) const
{
    std::int64_t total = 0;
    std::size_t origins = 0;
    for (const auto& [origin, windows] : m_counts.entries())
    {
        const auto found = windows.find(window);
        if (found == windows.end())
        {
            continue;
        }
        ++origins;
        for (const auto& [tenant, count] : found->second)
        {
            total += count;
        }
    }
    return concat(total, " requests, reported by ", origins, " incarnations");
}

// Incarnations that no longer report their counts themselves.
std::vector<host_incarnation>
peer_table::inactive_incarnations(incarnation own_incarnation) const
{
    std::vector<host_incarnation> inactive;
    for (const auto& [origin, counts] : m_counts.entries())
    {
        const bool is_own =
            origin.host == m_self.name && origin.started == own_incarnation;
        const auto peer = m_peers.find(origin.host);
        const bool is_reporting = peer != m_peers.end() &&
                                  peer->second.state.started == origin.started;
        if (!is_own && !is_reporting)
        {
            inactive.push_back(origin);
        }
    }
    return inactive;
}

std::map<host_incarnation, counts_by_window>
peer_table::relayed_counts(incarnation own_incarnation) const
{
    struct relayed_window
    {
        host_incarnation origin;
        std::int64_t window;
    };
    std::vector<relayed_window> inactive;
    for (const auto& origin : inactive_incarnations(own_incarnation))
    {
        const auto recent = unsettled_windows(m_counts.entries().at(origin));
        for (const auto& [window, counts] : recent)
        {
            inactive.push_back({origin, window});
        }
    }
    // Each datagram holds a few of them; the others follow in later datagrams.
    std::map<host_incarnation, counts_by_window> relayed;
    for (const auto& [origin, window] :
         rotating_subset(inactive, max_relayed_windows, m_next_inactive))
    {
        relayed[origin][window] = m_counts.entries().at(origin).at(window);
    }
    return relayed;
}

counts_by_window
peer_table::unsettled_windows(const counts_by_window& counts) const
{
    const auto newest = m_counts.newest_window();
    const auto oldest =
        newest - static_cast<std::int64_t>(unsettled_window_count) + 1;
    return {counts.lower_bound(oldest), counts.end()};
}

void peer_table::merge_reported_counts(const window_counts& report)
{
    for (const auto& [origin, counts] : report.counts)
    {
        m_counts.merge(origin, {{report.window, counts}});
    }
}

std::map<host_incarnation, tenant_counts>
peer_table::reported_counts(std::int64_t window) const
{
    std::map<host_incarnation, tenant_counts> reported;
    const auto add = [&](const host_incarnation& origin)
    {
        const auto& entries = m_counts.entries();
        const auto windows = entries.find(origin);
        if (windows == entries.end())
        {
            return;
        }
        const auto counts = windows->second.find(window);
        if (counts != windows->second.end())
        {
            reported[origin] = counts->second;
        }
    };
    add({m_self.name, m_started});
    for (const auto& origin :
         rotating_subset(inactive_incarnations(m_started),
                         max_relayed_incarnations, m_next_inactive))
    {
        add(origin);
    }
    return reported;
}

bool peer_table::is_reachable(const host_id& peer, absl::Time now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           now - found->second.heard_at <= reach_timeout();
}

} // namespace daleshelf
