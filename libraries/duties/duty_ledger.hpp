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
    absl::Duration renewal = absl::Seconds(1);
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

    /// Answer to a read.
    /// @param first the oldest offset kept
    /// @param end where the next record goes
    void on_records(log_offset from, log_offset first, log_offset end,
                    const std::vector<std::string>& records, absl::Time now);

    /// The append was done.
    void on_appended(const ledger_append& append, absl::Time sent_at);

    /// The append was not done, or may have been.
    void on_uncertain();

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
    counts_by_window m_settled;
};

} // namespace daleshelf
