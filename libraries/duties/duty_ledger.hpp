/// @file
/// Lease on the platform's log that elects the one host which performs the
/// duties (such as usage reports and scaling), and the usage counts that
/// leaseholders have settled; free of I/O.
#pragma once

#include "usage_counter.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Durations of the lease.
struct duty_options
{
    /// Time from sending a grant or a renewal until the lease expires.
    absl::Duration lease_duration = absl::Seconds(3);
    /// Time between renewals. If a renewal and the read after it each go
    /// without a response for 0.7 s, there is still time to release the lease
    /// before it expires.
    absl::Duration renewal_interval = absl::Milliseconds(750);
    /// Other hosts wait this much longer than the lease lasts.
    absl::Duration takeover_margin = absl::Seconds(1);
};

/// A conditional append: it succeeds only if the log ends at `expected_end`.
struct ledger_append
{
    log_offset expected_end;
    std::string record;
    std::optional<std::int64_t> window; ///< the window it settles
};

/// A read of the log from an offset on.
struct ledger_read
{
    log_offset from;
};

/// A lease that its holder has released: that incarnation of the host no longer
/// acts under its token.
struct released_lease
{
    host_id holder;
    incarnation holder_incarnation;
    std::int64_t token = -1;

    friend bool operator==(const released_lease&,
                           const released_lease&) = default;
};

using ledger_action = std::variant<std::monostate, ledger_read, ledger_append>;

/// Follows a log that grants and renews one lease and settles the counts of
/// usage windows. Every append is conditional on the end of the log that its
/// writer knows, so one of two concurrent writers fails and has to read first.
/// The offset of a grant is its fencing token. Time is monotonic; the clocks of
/// two hosts are never compared. See docs/design/platform.md.
class duty_ledger
{
public:
    /// @param self this host
    /// @param own_incarnation this host's incarnation
    /// @param options durations of the lease
    duty_ledger(host_id self, incarnation own_incarnation,
                const duty_options& options);

    /// @param is_holder_reachable whether a reachable peer reports that it
    /// holds the lease
    /// @return the next read or append, if one is due
    [[nodiscard]] ledger_action next_action(bool is_holder_reachable,
                                            absl::Time now);

    /// @return an append that settles the window; empty unless this host holds
    /// the lease, has read the log and can settle the window
    [[nodiscard]] std::optional<ledger_append>
    settle(std::int64_t window, const tenant_counts& counts,
           absl::Time now) const;

    /// @return whether the window is known not to be settled yet; valid only
    /// while this host holds the lease and has read the log
    [[nodiscard]] bool can_settle(std::int64_t window) const
    {
        return window >= m_first_settleable_window &&
               !m_settled.contains(window);
    }

    /// Handles the response to a read. If the log dropped records before this
    /// host read them, windows that had ended by then may have been settled in
    /// the dropped records and cannot be settled here.
    /// @param from the offset that was read from
    /// @param first the oldest offset kept
    /// @param end the offset of the next record
    /// @param records the records from `from` or `first` on
    /// @param current_window the usage window that has not ended yet
    /// @param now when the response arrived
    void on_records(log_offset from, log_offset first, log_offset end,
                    const std::vector<std::string>& records,
                    std::int64_t current_window, absl::Time now);

    /// Handles a successful append.
    /// @param append the append
    /// @param sent_at when the call was sent; the lease counts from then
    void on_appended(const ledger_append& append, absl::Time sent_at);

    /// Handles a call whose outcome is a failure or unknown. The log has to be
    /// read again before the next append.
    void on_outcome_unknown();

    /// Counts a call that the store rejected or did not respond to.
    /// @param sent_at when the call was sent
    void on_call_failed(absl::Time sent_at);

    /// @param others_served_at when the store last responded to another host
    /// @return whether the holder should release its lease: two calls to the
    /// store in a row have failed, and the store has responded to another host
    /// since
    [[nodiscard]] bool should_release(absl::Time others_served_at,
                                      absl::Time now) const;

    /// Releases the lease. This host does not acquire it again for as long as
    /// others would have waited for it to expire. No call under its token may
    /// be in flight.
    void release(absl::Time now);

    /// Handles the release of a lease by its holder: others need not wait for
    /// it to expire.
    void on_released(const released_lease& lease);

    /// @return the fencing token that this incarnation released last; -1: none
    [[nodiscard]] std::int64_t released_token() const
    {
        return m_released_token;
    }

    /// @param is_candidate whether this host acquires the lease if it expires;
    /// a host that is no candidate reads the log once and not again
    void set_candidate(bool is_candidate)
    {
        m_is_candidate = is_candidate;
    }

    /// Stops renewing the lease, so that another host can take over sooner.
    void stop()
    {
        m_is_stopping = true;
    }

    /// @return the fencing token; empty unless this host holds the lease for
    /// longer than `min_remaining` from now
    [[nodiscard]] std::optional<std::int64_t>
    token(absl::Time now,
          absl::Duration min_remaining = absl::ZeroDuration()) const;

    /// @return the settled counts by window
    [[nodiscard]] const counts_by_window& settled() const
    {
        return m_settled;
    }

    [[nodiscard]] const host_id& holder() const
    {
        return m_holder;
    }

private:
    void apply(log_offset offset, const std::string& record, absl::Time now);
    [[nodiscard]] bool is_holder() const;
    [[nodiscard]] bool can_acquire(absl::Time now) const;
    [[nodiscard]] boost::json::object new_record(std::string_view kind) const;
    [[nodiscard]] std::string lease_record(std::string_view kind) const;

    host_id m_self;
    incarnation m_incarnation;
    duty_options m_options;
    log_offset m_next_offset;
    bool m_is_caught_up = false; ///< no unread records are known
    bool m_has_read = false;
    bool m_is_stopping = false;
    bool m_is_candidate = true;
    host_id m_holder;
    incarnation m_holder_incarnation;
    std::int64_t m_token = -1;
    /// When this host read or sent the last record of a holder.
    absl::Time m_holder_seen_at = absl::InfinitePast();
    absl::Time m_valid_until = absl::InfinitePast(); ///< lease of this host
    absl::Time m_renewed_at = absl::InfinitePast();
    absl::Time m_read_at = absl::InfinitePast();
    std::int64_t m_released_token = -1; ///< of this incarnation
    absl::Time m_released_at = absl::InfinitePast();
    released_lease m_received_release;
    int m_consecutive_failures = 0; ///< calls to the store
    absl::Time m_first_failure_at = absl::InfiniteFuture();
    counts_by_window m_settled;
    /// Windows before it may have been settled in records that were dropped.
    std::int64_t m_first_settleable_window = 0;
};

} // namespace daleshelf
