/// @file
/// Acquires and keeps one lease, free of I/O.
#pragma once

#include "lease_table.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <base/log_page.hpp>
#include <optional>
#include <replay/append_pacer.hpp>
#include <replay/log_cursor.hpp>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Times of a lease.
struct lease_options
{
    absl::Duration duration = absl::Seconds(10);
    absl::Duration renewal = absl::Seconds(3);
    /// Rival hosts wait this much longer than the lease lasts: hosts' clocks
    /// run at slightly different rates.
    absl::Duration margin = absl::Seconds(2);
    absl::Duration read_pause = absl::Milliseconds(200);
    absl::Duration longest_pause = absl::Seconds(5);
};

/// Read the stream of leases.
struct read_leases
{
    log_offset from;
    /// Whether the log may hold the answer back until there is a record; not
    /// before this host has caught up once.
    bool may_wait = false;
};

/// Append a proposal to the stream of leases.
struct append_lease
{
    std::string data;
};

using lease_action = std::variant<read_leases, append_lease>;
using lease_actions = std::vector<lease_action>;

/// Follows a stream of leases and tries to hold one of them. Time is that of a
/// monotonic clock of this host; no two hosts' clocks are compared. See
/// docs/design/leases.md.
class lease_keeper
{
public:
    /// @param name the lease
    /// @param self this host
    /// @param started this start of it
    /// @param options times
    /// @param seed of the jitter
    lease_keeper(lease_name name, host_id self, incarnation started,
                 const lease_options& options, std::uint64_t seed);

    /// Called often.
    [[nodiscard]] lease_actions on_tick(absl::Time now);

    /// Answer to `read_leases`.
    void on_records(const log_read_result& result, absl::Time now);

    /// Answer to `append_lease`.
    void on_appended(const log_append_result& result, absl::Time now);

    /// Gives the lease up, if it is held.
    void release();

    /// @return the token, while the lease surely holds
    [[nodiscard]] std::optional<fencing_token> held(absl::Time now) const;

    /// The token of the last grant to this host that nobody is known to have
    /// superseded, even if it may have lapsed: good only towards those that
    /// check tokens.
    [[nodiscard]] std::optional<fencing_token> last_token() const;

private:
    bool is_own(const lease_grant& grant) const;

    lease_name m_name;
    host_id m_self;
    incarnation m_started;
    lease_options m_options;
    log_cursor m_cursor;
    append_pacer m_pacer;
    lease_table m_table;
    log_offset m_next;
    bool m_has_read = false;
    bool m_is_releasing = false;
    fencing_token m_seen{-1}; ///< the grant that `m_seen_at` is about
    absl::Time m_seen_at = absl::InfinitePast();
    absl::Time m_proposed_at = absl::InfinitePast();
    fencing_token m_held{-1};
    absl::Time m_held_until = absl::InfinitePast();
};

} // namespace daleshelf
