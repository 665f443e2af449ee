/// @file
/// The newest known states of the other gateways; free of I/O.
#pragma once

#include "host_state.hpp"
#include "reader_monitor.hpp"
#include "window_counts.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// One other host.
struct peer_record
{
    host_state state;
    /// When its last state was received; `InfinitePast`: none was.
    absl::Time heard_at = absl::InfinitePast();
    /// When its address was first added, from a list or by another host.
    absl::Time listed_at = absl::InfinitePast();
    std::string address;
    /// When the store last answered it, according to its own state.
    absl::Time store_answered_at = absl::InfinitePast();
};

/// Send rate, and timeouts after which a silent peer is unreachable or evicted.
struct peer_options
{
    /// Interval between two states sent to the same peer in a small fleet.
    absl::Duration send_interval = absl::Milliseconds(250);
    /// Maximum number of peers that are sent a state per tick. With more peers,
    /// the interval grows in proportion to their number, so that the traffic of
    /// a host stays constant.
    double peers_per_tick = 8;
    /// Six consecutive states are missing: not by chance, even at a packet loss
    /// of 30%.
    absl::Duration reach_timeout = absl::Seconds(1.5);
    /// A restarted host returns within this time, under the same name.
    absl::Duration eviction_timeout = absl::Seconds(15);
};

/// Effect of one received state.
struct peer_change
{
    bool is_newer = false; ///< the state replaced the known one
    /// The state is the first of its host, or the first of a new incarnation.
    bool is_new_incarnation = false;
};

/// Topics of the platform's log whose records hosts send to one another.
enum class shared_topic
{
    configuration,
    servers,
};

/// How far a host has read each topic.
struct topic_positions
{
    std::int64_t configuration_version = 0;
    log_offset servers_offset;
};

/// A peer that is ahead of this host in a topic.
struct record_source
{
    shared_topic topic = shared_topic::configuration;
    std::string address;
    topic_positions positions; ///< as reported by the peer
};

/// Keeps the newest state of each peer. See docs/design/platform.md.
class peer_table
{
public:
    /// @param self this host
    /// @param started this host's incarnation
    /// @param options send rate and timeouts
    peer_table(host_address self, incarnation started,
               const peer_options& options);

    /// Adds the address of a host, unless a state of it has been received.
    void add_address(const host_address& host, absl::Time now);

    /// Merges the counts of a received state, and stores the state if it is
    /// newer than the known one.
    [[nodiscard]] peer_change receive(host_state state, absl::Time now);

    /// Evicts peers that have left, or have been silent for the eviction
    /// timeout.
    /// @return the evicted peers
    std::vector<host_id> evict_silent(absl::Time now);

    /// @return interval between two states sent to the same peer
    [[nodiscard]] absl::Duration send_interval() const;

    /// @return addresses of the peers to send the state to in this tick, in
    /// round-robin order. Each host starts after its own name in that order, so
    /// that no host receives the states of all others at once.
    [[nodiscard]] std::vector<std::string> next_targets();

    /// @return whether the state goes to every peer in each tick
    [[nodiscard]] bool sends_to_all_peers() const;

    /// @param own_hall the hall whose readers to return
    /// @param reaches_store whether this host, which is in that hall, reaches
    /// the store itself
    /// @param monitor suspected readers, which are left out
    /// @return the few hosts that read from the store on behalf of the hall;
    /// hosts with the same view of the peers get the same result
    [[nodiscard]] std::vector<host_id> readers_of(const hall_id& own_hall,
                                                  bool reaches_store,
                                                  const reader_monitor& monitor,
                                                  absl::Time now) const;

    /// @return number of known hosts of this host's hall that rank before it as
    /// readers, reachable or not
    [[nodiscard]] std::size_t reader_position() const;

    /// @return the other known hosts of this host's hall, those that rank first
    /// as readers first
    [[nodiscard]] std::vector<host_id> hosts_by_reader_rank() const;

    /// @return the other known hosts of this host's hall
    [[nodiscard]] std::vector<host_id> hosts_of_hall() const;

    /// @return the readers of all halls, without this host
    [[nodiscard]] std::vector<host_id> other_readers(absl::Time now) const;

    /// @param own the positions of this host
    /// @return the peer to fetch missing records from, or nothing if no
    /// reachable peer is ahead. Peers with a newer configuration go first, then
    /// those of the own hall, then the one heard most recently.
    [[nodiscard]] std::optional<record_source>
    source_of_newer_records(const topic_positions& own, absl::Time now) const;

    /// @return when the store last answered any peer, as far as reported
    [[nodiscard]] absl::Time store_answered_at() const;

    /// @return whether a state of the peer arrived within the reach timeout
    /// of a small fleet, whatever the size of this one
    [[nodiscard]] bool is_heard_recently(const host_id& peer,
                                         absl::Time now) const;

    /// @return number of reachable hosts, with this one
    [[nodiscard]] std::size_t reachable_count(absl::Time now) const;

    /// Merges the counts of this host's given incarnation.
    void merge_own_counts(const counts_by_window& counts, incarnation started);

    /// @return requests started on all hosts within a window, by workspace
    [[nodiscard]] tenant_counts counts_of(std::int64_t window) const
    {
        return m_counts.sum(window);
    }

    /// Merges the response to a request for the counts of one window.
    void merge_reported_counts(const window_counts& report);

    /// @return counts of a window for the response to a request: this host's
    /// own, and those of a bounded number of incarnations that no longer report
    /// them, rotating between calls
    [[nodiscard]] std::map<host_incarnation, tenant_counts>
    reported_counts(std::int64_t window) const;

    /// @return the number of requests started within a window and of the
    /// incarnations that reported them, as a text for logs
    [[nodiscard]] std::string describe_counts(std::int64_t window) const;

    /// @return the part of the counts whose windows may not be settled yet
    [[nodiscard]] counts_by_window
    unsettled_windows(const counts_by_window& counts) const;

    /// @return unsettled counts of a bounded number of incarnations that no
    /// longer report them, rotating between calls. Counts of an unreachable
    /// host that is still known are left out: it reports them itself later.
    [[nodiscard]] std::map<host_incarnation, counts_by_window>
    relayed_counts(incarnation own_incarnation) const;

    /// @return known hosts, with this one
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size() + 1;
    }

    /// @return whether a state of the peer arrived within the reach timeout
    [[nodiscard]] bool is_reachable(const host_id& peer, absl::Time now) const;

    [[nodiscard]] const std::map<host_id, peer_record>& peers() const
    {
        return m_peers;
    }

private:
    [[nodiscard]] absl::Duration reach_timeout() const;
    [[nodiscard]] absl::Duration eviction_timeout() const;
    [[nodiscard]] std::vector<host_incarnation>
    inactive_incarnations(incarnation own_incarnation) const;
    [[nodiscard]] bool is_reader_candidate(const host_id& peer,
                                           absl::Time now) const;
    void drop_seed(const std::string& address);

    host_address m_self;
    incarnation m_started;
    peer_options m_options;
    std::map<host_id, peer_record> m_peers;
    std::size_t m_round_position = 0; ///< peers sent to in the current round
    count_table m_counts;
    /// Rotates the inactive incarnations whose counts are relayed.
    mutable std::size_t m_next_inactive = 0;
};

} // namespace daleshelf
