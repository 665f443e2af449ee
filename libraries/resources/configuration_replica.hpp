/// @file
/// One host's replica of the declared resources, free of I/O.
#pragma once

#include "change.hpp"
#include "replica_action.hpp"
#include "resource_store.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <base/log_page.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <replay/append_pacer.hpp>
#include <replay/log_cursor.hpp>
#include <set>
#include <string>
#include <vector>

namespace daleshelf
{

/// Times and sizes of a replica.
struct replica_options
{
    absl::Duration read_pause = absl::Milliseconds(200);
    absl::Duration longest_pause = absl::Seconds(5);
    absl::Duration append_interval = absl::Milliseconds(100);
    absl::Duration peer_interval = absl::Milliseconds(300);
    std::int64_t records_per_snapshot = 500;
    absl::Duration snapshot_jitter = absl::Seconds(10);
    std::size_t kept_records = 1000; ///< for peers
    std::size_t changes_per_record = 100;
    std::size_t most_proposals = 2000;
};

/// Follows the log, settles changes, proposes those of its operators, writes
/// snapshots and learns from peers while the log is out of reach. Events and
/// time go in, actions come out. See docs/design/configuration.md.
class configuration_replica
{
public:
    /// @param options times and sizes
    /// @param seed of the jitter
    configuration_replica(const replica_options& options, std::uint64_t seed);

    /// Called often; time only enters here and by `now` below.
    [[nodiscard]] replica_actions on_tick(absl::Time now);

    /// Answer to `read_records`.
    [[nodiscard]] replica_actions on_records(const log_read_result& result,
                                             absl::Time now);

    /// Answer to `read_snapshot`.
    /// @param data the newest snapshot; empty if there is none
    /// @param is_reached whether the log has answered
    [[nodiscard]] replica_actions on_snapshot(const std::string& data,
                                              bool is_reached, absl::Time now);

    /// Answer to `append_record`.
    void on_appended(const log_append_result& result, absl::Time now);

    /// Answer to `ask_peer`.
    /// @param snapshot the peer's state; empty if the records reach back
    /// @param records records from the offset asked for on
    /// @param is_peer_current whether the peer serves with what it has
    [[nodiscard]] replica_actions
    on_peer_records(const std::string& snapshot,
                    const std::vector<log_record>& records,
                    bool is_peer_current, absl::Time now);

    /// What other hosts have applied, as far as is known.
    void set_peers_next(log_offset next, bool has_peers);

    /// Proposes a change.
    /// @return its outcome if that is known at once; else nothing, and
    ///         `change_settled` follows
    [[nodiscard]] std::optional<change_outcome> propose(const change& proposed);

    /// @return whether no further proposals are taken now
    [[nodiscard]] bool is_full() const;

    /// @return the outcome; `pending` for a change proposed here that is not
    ///         settled; nothing if it is not known
    [[nodiscard]] std::optional<change_outcome>
    find_change(const change_id& id) const;

    /// Records for a peer.
    /// @param from first offset that the peer lacks
    /// @param records takes the records, if they reach back far enough
    /// @return a snapshot if they do not; else an empty text
    [[nodiscard]] std::string
    records_for_peer(log_offset from, std::vector<log_record>& records) const;

    [[nodiscard]] const resource_store& store() const
    {
        return m_store;
    }

    /// @return whether this replica is as new as what it could know of
    [[nodiscard]] bool is_current() const
    {
        return m_is_current;
    }

    [[nodiscard]] bool is_log_reachable() const
    {
        return m_is_reachable;
    }

    /// @return when the log or a peer last confirmed the state
    [[nodiscard]] absl::Time last_contact() const
    {
        return m_last_contact;
    }

private:
    void apply(const log_record& record, replica_actions& actions);
    void load(const std::string& snapshot, replica_actions& actions);
    void announce(log_offset before, bool is_reset, replica_actions& actions);
    void set_reachable(bool is_reachable, const std::string& message,
                       replica_actions& actions);
    void check_current();
    void propose_waiting(absl::Time now, replica_actions& actions);
    void check_snapshot(absl::Time now, replica_actions& actions);

    replica_options m_options;
    std::mt19937_64 m_random;
    log_cursor m_cursor;
    append_pacer m_pacer;
    resource_store m_store;
    std::deque<log_record> m_records; ///< the newest, for peers
    std::map<change_id, change> m_proposals;
    std::deque<change_id> m_unsent; ///< proposals to append
    std::set<change_id> m_in_append;
    bool m_is_reading_snapshot = false;
    backoff m_snapshot_backoff;
    absl::Time m_next_snapshot_read = absl::InfinitePast();
    bool m_is_snapshot_due = false; ///< read it to see whether to write one
    bool m_is_reachable = false;
    bool m_was_reached = false;
    bool m_needs_snapshot = false;
    bool m_is_current = false;
    bool m_is_back = false; ///< the log answers from an older state
    bool m_has_peers = false;
    bool m_is_confirmed_by_peer = false;
    log_offset m_peers_next;
    log_offset m_snapshot_next; ///< of the newest snapshot that is known
    absl::Time m_next_peer = absl::InfinitePast();
    absl::Time m_snapshot_at = absl::InfiniteFuture();
    absl::Time m_last_contact = absl::InfinitePast();
};

} // namespace daleshelf
