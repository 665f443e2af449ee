/// @file
/// Health of upstreams, from the outcomes of attempts.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>

namespace daleshelf
{

/// Outcome of an attempt, as evidence of the upstream's health.
enum class attempt_outcome
{
    succeeded,   ///< a successful response, or the start of one
    failed,      ///< the upstream responded with an error of its own
    rejected,    ///< the upstream did not run the request, as when it is full
    unreachable, ///< the connection could not be made, or broke
    timed_out,   ///< no response within the deadline
};

/// Counts consecutive failures of upstreams. An upstream that has failed is
/// unhealthy for a time that doubles with each consecutive failure. Does no
/// I/O.
class upstream_health
{
public:
    /// Records the outcome of an attempt.
    void record(const upstream_id& server, attempt_outcome outcome,
                absl::Time now);

    /// @return whether the upstream failed recently
    [[nodiscard]] bool is_unhealthy(const upstream_id& server,
                                    absl::Time now) const;

    /// Discards the failures recorded since a time.
    void discard_failures(absl::Time since);

    /// Discards what is known of an upstream.
    void reset(const upstream_id& server)
    {
        m_states.erase(server);
    }

    /// Discards the upstreams for which a predicate holds.
    template <typename Predicate>
    void drop_if(Predicate predicate)
    {
        absl::erase_if(m_states, [&](const auto& entry)
                       { return predicate(entry.first); });
    }

private:
    struct state
    {
        int consecutive_failures = 0;
        absl::Time failed_at = absl::InfinitePast(); ///< last failure
        absl::Time unhealthy_until = absl::InfinitePast();
    };

    absl::flat_hash_map<upstream_id, state> m_states;
};

} // namespace daleshelf
