/// @file
/// One holder of duties at a time, and what holders have settled, by a log;
/// free of I/O.
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

/// Times of the lease.
struct duty_options
{
    absl::Duration lease = absl::Seconds(3);
    /// A renewal and the read after it may each be without an answer for
    /// 0.7 s, and there is still time to release the lease before it lapses.
    absl::Duration renewal = absl::Milliseconds(750);
    /// Others wait this much longer than the lease lasts.
    absl::Duration margin = absl::Seconds(1);
};

/// A record to append, on the condition that the log ends at `at`.
struct ledger_append
{
    log_offset at;
    std::string record;
    std::optional<std::int64_t> window; ///< the window that it settles
};

/// Read the log from an offset on.
struct ledger_read
{
    log_offset from;
};

/// A lease that its holder has given up: the holder's start acts under its
/// token no more.
struct released_lease
{
    host_id holder;
    incarnation started;
    std::int64_t token = -1;

    friend bool operator==(const released_lease&,
                           const released_lease&) = default;
};

using ledger_action = std::variant<std::monostate, ledger_read, ledger_append>;

/// Follows a log that grants and renews one lease and settles the counts of
/// usage windows. Every append names the end that its writer knows, so of two
/// writers one fails and reads first. A grant's offset is its fencing token.
/// Time is monotonic; no two machines' clocks are compared. See
/// docs/design/platform.md.
class duty_ledger
{
public:
    duty_ledger(host_id self, incarnation started, const duty_options& options);

    /// @param is_holder_heard whether a peer in reach says that it holds
    /// @return what is to be done now
    [[nodiscard]] ledger_action next_action(bool is_holder_heard,
                                            absl::Time now);

    /// @return a record that settles a window, if this machine may settle it
    [[nodiscard]] std::optional<ledger_append>
    settle(std::int64_t window, const tenant_counts& counts,
           absl::Time now) const;

    /// @return whether this machine knows that nobody has settled the window,
    /// once it holds the lease and has read the log
    [[nodiscard]] bool may_settle(std::int64_t window) const
    {
        return window >= m_first_known && !m_settled.contains(window);
    }

    /// Answer to a read. Windows that ended before records were dropped unread
    /// may have been settled in these.
    /// @param first the oldest offset kept
    /// @param end where the next record goes
    /// @param running_window the usage window that has not ended yet
    void on_records(log_offset from, log_offset first, log_offset end,
                    const std::vector<std::string>& records,
                    std::int64_t running_window, absl::Time now);

    /// The append was done.
    void on_appended(const ledger_append& append, absl::Time sent_at);

    /// The append was not done, or may have been.
    void on_uncertain();

    /// The store did not answer a call, or refused it.
    /// @param sent_at when the call was sent
    void on_refused(absl::Time sent_at);

    /// @param others_answered_at when the store last answered another machine
    /// @return whether the holder should give its lease up: the store has let
    /// it do nothing twice in a row, and has answered another machine since
    [[nodiscard]] bool should_release(absl::Time others_answered_at,
                                      absl::Time now) const;

    /// Gives the lease up for good, and leaves it to others for as long as
    /// they would have waited for it. No call under its token may be open.
    void release(absl::Time now);

    /// The holder of a lease has given it up: others need not wait it out.
    void on_released(const released_lease& lease);

    /// @return the token that this start gave up last; -1: none
    [[nodiscard]] std::int64_t released_token() const
    {
        return m_released_token;
    }

    /// @param is_candidate whether this machine takes the lease if it lapses;
    /// one that does not reads the log once and leaves it alone then
    void set_candidate(bool is_candidate)
    {
        m_is_candidate = is_candidate;
    }

    /// Stops renewing, so that another machine may take over sooner.
    void stop()
    {
        m_is_stopping = true;
    }

    /// @return the fencing token, while this machine surely holds the lease
    /// for another `needed`
    [[nodiscard]] std::optional<std::int64_t>
    token(absl::Time now, absl::Duration needed = absl::ZeroDuration()) const;

    /// @return counts that were settled, by window
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
    [[nodiscard]] bool is_own() const;
    [[nodiscard]] bool may_grant(absl::Time now) const;
    [[nodiscard]] boost::json::object new_record(std::string_view kind) const;
    [[nodiscard]] std::string lease_record(std::string_view kind) const;

    host_id m_self;
    incarnation m_started;
    duty_options m_options;
    log_offset m_next;
    bool m_is_current = false; ///< nothing is known to be unread
    bool m_was_read = false;
    bool m_is_stopping = false;
    bool m_is_candidate = true;
    host_id m_holder;
    incarnation m_holder_started;
    std::int64_t m_token = -1;
    absl::Time m_seen_at = absl::InfinitePast(); ///< the holder's last record
    absl::Time m_valid_until = absl::InfinitePast(); ///< this machine's lease
    absl::Time m_renewed_at = absl::InfinitePast();
    absl::Time m_read_at = absl::InfinitePast();
    std::int64_t m_released_token = -1; ///< of this start
    absl::Time m_released_at = absl::InfinitePast();
    released_lease m_heard_release;
    int m_refusals = 0; ///< of the store, in a row
    absl::Time m_refused_since = absl::InfiniteFuture();
    counts_by_window m_settled;
    /// Earlier windows may have been settled in records that were dropped.
    std::int64_t m_first_known = 0;
};

} // namespace daleshelf
