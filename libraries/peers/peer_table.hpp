/// @file
/// The other gateways, as far as this one hears them; free of I/O.
#pragma once

#include "machine_state.hpp"
#include "window_counts.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// One other machine.
struct peer_record
{
    machine_state state;
    absl::Time heard_at = absl::InfinitePast();
    absl::Time listed_at = absl::InfinitePast(); ///< named by someone
    std::string address;
    absl::Time store_answered_at = absl::InfinitePast(); ///< by its own word
};

/// Times after which a silent peer counts as out of reach, and as gone.
struct peer_options
{
    /// Pause between two datagrams to each peer while there are few.
    absl::Duration send_pause = absl::Milliseconds(250);
    /// Beyond this many peers the pause grows with their number, so that what
    /// a machine sends and hears stays the same.
    double many_peers = 8;
    /// Six states in a row are missing: not chance, even where three packets in
    /// ten are lost.
    absl::Duration reach_time = absl::Seconds(1.5);
    /// A host that restarts is back within this time, under the same name.
    absl::Duration forget_time = absl::Seconds(15);
};

/// What has changed through one datagram.
struct peer_change
{
    bool is_news = false;  ///< newer than what was known of the machine
    bool is_start = false; ///< first heard, or first since it started again
};

/// Records of the platform that hosts hand to one another.
enum class shared_topic
{
    configuration,
    servers,
};

/// How much a host knows of each topic.
struct known_records
{
    std::int64_t configuration_version = 0;
    log_offset servers_offset;
};

/// A peer that knows more of a topic.
struct news_source
{
    shared_topic topic = shared_topic::configuration;
    std::string address;
    known_records known; ///< what the peer has told that it knows
};

/// Keeps the newest state of each peer. See docs/design/platform.md.
class peer_table
{
public:
    /// @param started this machine's start, in milliseconds since 1970
    peer_table(machine_address self, incarnation started,
               const peer_options& options);

    /// Notes that a machine may be at an address.
    void add_address(const machine_address& machine, absl::Time now);

    /// Takes a peer's state.
    [[nodiscard]] peer_change receive(machine_state state, absl::Time now);

    /// Forgets peers that have been silent for long.
    /// @return those that are forgotten
    std::vector<host_id> forget_silent(absl::Time now);

    /// @return pause between two datagrams to each peer
    [[nodiscard]] absl::Duration send_pause() const;

    /// @return addresses of the peers that are to be told next: a few at each
    /// call, all in turn. Each machine begins after its own name, so that no
    /// machine hears all others at once.
    [[nodiscard]] std::vector<std::string> next_in_turn();

    /// @return whether each datagram goes to every peer
    [[nodiscard]] bool tells_all_at_once() const;

    /// @param own_hall the hall whose machines are meant
    /// @param reaches_store whether this machine, of that hall, reaches the
    /// store itself
    /// @return the few machines of the hall that read for the others what the
    /// store tells: every machine that hears the same finds the same
    [[nodiscard]] std::vector<host_id> readers_of(const hall_id& own_hall,
                                                  bool reaches_store,
                                                  absl::Time now) const;

    /// @return the readers of all halls, without this machine
    [[nodiscard]] std::vector<host_id> readers_elsewhere(absl::Time now) const;

    /// @param own what this machine knows
    /// @return whom to ask for what this machine lacks: of the peers in reach
    /// that know more, the one heard last, of the configuration first; nothing
    /// if none knows more
    [[nodiscard]] std::optional<news_source>
    source_of_news(const known_records& own, absl::Time now) const;

    /// @return when the store last answered a peer, as far as they have told
    [[nodiscard]] absl::Time store_answered_at() const;

    /// @return whether a peer was heard so lately that it was alive just now
    [[nodiscard]] bool is_heard_lately(const host_id& peer,
                                       absl::Time now) const;

    /// @return machines that are in reach, with this one
    [[nodiscard]] std::size_t reached(absl::Time now) const;

    /// Notes what this machine has counted since its start.
    void note_own_counts(const counts_by_window& counts, incarnation started);

    /// @return requests begun at all machines within a window, by tenant
    [[nodiscard]] tenant_counts counts_of(std::int64_t window) const
    {
        return m_counts.sum(window);
    }

    /// Notes counts of one window, told when they were asked for.
    void note_told_counts(const window_counts& told);

    /// @return counts of a window: this machine's own, and those of some
    /// starts that no longer tell them, others at each call
    [[nodiscard]] std::map<counting_start, tenant_counts>
    told_counts(std::int64_t window) const;

    /// @return how many requests have begun within a window, and how many
    /// starts told of them, as a text for logs
    [[nodiscard]] std::string describe_counts(std::int64_t window) const;

    /// @return those of the counts whose windows may not have been settled
    [[nodiscard]] counts_by_window
    newest_windows(const counts_by_window& counts) const;

    /// @return such counts of some starts that no longer tell them by
    /// themselves, others at each call; a machine that is only out of reach
    /// still will
    [[nodiscard]] std::map<counting_start, counts_by_window>
    ended_counts(incarnation own_start) const;

    /// @return known machines, with this one
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size() + 1;
    }

    [[nodiscard]] bool is_in_reach(const host_id& peer, absl::Time now) const;

    [[nodiscard]] const std::map<host_id, peer_record>& peers() const
    {
        return m_peers;
    }

private:
    [[nodiscard]] absl::Duration reach_time() const;
    [[nodiscard]] absl::Duration forget_time() const;
    [[nodiscard]] std::vector<counting_start>
    ended_starts(incarnation own_start) const;
    [[nodiscard]] bool may_read(const host_id& peer, absl::Time now) const;
    void drop_seed(const std::string& address);

    machine_address m_self;
    incarnation m_started;
    peer_options m_options;
    std::map<host_id, peer_record> m_peers;
    std::size_t m_turn = 0; ///< peers told since its last beginning
    count_table m_counts;
    mutable std::size_t m_next_ended = 0;
};

} // namespace daleshelf
