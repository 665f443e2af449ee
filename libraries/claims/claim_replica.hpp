/// @file
/// One host's part in claiming idempotency keys, free of I/O.
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

/// Times and sizes of a claim replica.
struct claim_options
{
    absl::Duration window = absl::Hours(1);          ///< how long a key is held
    absl::Duration clock_margin = absl::Seconds(10); ///< between hosts' clocks
    absl::Duration read_pause = absl::Milliseconds(200);
    absl::Duration longest_pause = absl::Seconds(5);
    absl::Duration append_interval = absl::Milliseconds(50);
    std::size_t claims_per_record = 500;
    std::size_t most_waiting = 5000;
};

/// Read the stream of claims.
struct read_claims
{
    log_offset from;
    /// Whether the log may hold the answer back until there is a record; not
    /// before this host has caught up once.
    bool may_wait = false;
};

/// Append a record of claims.
struct append_claims
{
    std::string data;
};

/// A claim made here is settled.
struct claim_settled
{
    request_id request;
    claim_outcome outcome;
};

using claim_action = std::variant<read_claims, append_claims, claim_settled>;
using claim_actions = std::vector<claim_action>;

/// Claims keys for the requests of one host. Log order decides, so any number
/// of hosts may claim at once. See docs/design/claims.md.
class claim_replica
{
public:
    /// @param options times and sizes
    /// @param seed of the jitter
    claim_replica(const claim_options& options, std::uint64_t seed);

    /// Called often.
    [[nodiscard]] claim_actions on_tick(absl::Time now);

    /// Answer to `read_claims`.
    [[nodiscard]] claim_actions on_records(const log_read_result& result,
                                           absl::Time now);

    /// Answer to `append_claims`.
    void on_appended(const log_append_result& result, absl::Time now);

    /// Claims a key; `claim_settled` follows once, at the deadline at the
    /// latest.
    /// @return the outcome if it is known at once
    [[nodiscard]] std::optional<claim_outcome>
    propose(const claim& wanted, absl::Time deadline, absl::Time now);

    /// @return whether all claims of the window are known here
    [[nodiscard]] bool is_complete(absl::Time now) const;

    [[nodiscard]] const claim_table& table() const
    {
        return m_table;
    }

private:
    /// A claim that waits for the log.
    struct waiting_claim
    {
        claim wanted;
        absl::Time deadline;
    };

    claim_outcome outcome_of(const claim& wanted) const;
    void append_waiting(absl::Time now, claim_actions& actions);
    void settle_known(claim_actions& actions);
    void give_up_late(absl::Time now, claim_actions& actions);

    claim_options m_options;
    log_cursor m_cursor;
    append_pacer m_pacer;
    claim_table m_table;
    log_offset m_next;
    bool m_has_read = false;
    bool m_starts_at_beginning = false;
    bool m_was_trimmed = false;
    absl::Time m_trimmed_at = absl::InfinitePast();
    std::map<request_id, waiting_claim> m_waiting;
    std::deque<claim> m_unsent;
    std::vector<claim> m_in_append;
};

} // namespace daleshelf
