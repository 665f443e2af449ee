/// @file
/// Claims idempotency keys for the requests of one host; free of I/O.
#pragma once

#include "claim_table.hpp"

#include <absl/time/time.h>

#include <base/log_page.hpp>
#include <deque>
#include <map>
#include <replay/append_pacer.hpp>
#include <replay/log_cursor.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Durations and limits of a claim replica.
struct claim_options
{
    absl::Duration window = absl::Hours(1); ///< time for which a key is held
    absl::Duration clock_margin = absl::Seconds(10); ///< for clock skew
    absl::Duration read_interval = absl::Milliseconds(200);
    absl::Duration max_backoff = absl::Seconds(5);
    absl::Duration append_interval = absl::Milliseconds(50);
    std::size_t claims_per_record = 500;
    std::size_t max_pending_claims = 5000;
};

/// A read of the stream of claims.
struct read_claims
{
    log_offset from;
    /// Whether the log may delay its response until there is a record. False
    /// until the first successful read.
    bool is_long_poll = false;
};

/// An append of a record of claims.
struct append_claims
{
    std::string data;
};

/// The outcome of a claim that this replica has proposed.
struct claim_resolved
{
    request_id request;
    claim_outcome outcome;
};

using claim_action = std::variant<read_claims, append_claims, claim_resolved>;
using claim_actions = std::vector<claim_action>;

/// Claims keys for the requests of one host. The order of the log decides, so
/// any number of hosts can claim concurrently. See docs/design/claims.md.
class claim_replica
{
public:
    /// @param options durations and limits
    /// @param seed seed of the back-off jitter
    claim_replica(const claim_options& options, std::uint64_t seed);

    /// Returns the reads, appends and outcomes that are due. The caller calls
    /// it periodically.
    [[nodiscard]] claim_actions on_tick(absl::Time now);

    /// Handles the response to `read_claims`.
    /// @return outcomes that the records decide
    [[nodiscard]] claim_actions on_records(const log_read_result& result,
                                           absl::Time now);

    /// Handles the response to `append_claims`.
    void on_appended(const log_append_result& result, absl::Time now);

    /// Claims a key. Unless the outcome is returned, `claim_resolved` follows
    /// once, on the first tick after the deadline at the latest.
    /// @param proposed the claim
    /// @param deadline when the outcome becomes `unavailable`
    /// @param now wall-clock time
    /// @return the outcome if it is known already
    [[nodiscard]] std::optional<claim_outcome>
    propose(const claim& proposed, absl::Time deadline, absl::Time now);

    /// @return whether this replica knows all claims of the window
    [[nodiscard]] bool is_complete(absl::Time now) const;

    [[nodiscard]] const claim_table& table() const
    {
        return m_table;
    }

private:
    /// A claim that is not in the replayed log yet.
    struct pending_claim
    {
        claim proposed;
        absl::Time deadline;
    };

    claim_outcome outcome_of(const claim& proposed) const;
    void append_unsent(absl::Time now, claim_actions& actions);
    void resolve_known(claim_actions& actions);
    void expire_pending(absl::Time now, claim_actions& actions);

    claim_options m_options;
    log_cursor m_cursor;
    append_pacer m_pacer;
    claim_table m_table;
    log_offset m_next_offset;
    bool m_has_read = false;
    bool m_has_read_from_start = false;
    bool m_was_trimmed = false;
    absl::Time m_trimmed_at = absl::InfinitePast();
    std::map<request_id, pending_claim> m_pending;
    std::deque<claim> m_unsent;
    std::vector<claim> m_in_flight;
};

} // namespace daleshelf
