/// @file
/// Detects whether a new version responds worse than the one that it replaces.
#pragma once

#include "response_statistics.hpp"

#include <array>
#include <map>
#include <string>

namespace daleshelf
{

/// The cumulative sums of the tests of one route.
struct cusum_scores
{
    double failures = 0;
    double first_latency = 0; ///< slow responses or first events
    double gaps = 0;          ///< slow gaps between events
};

/// The result of the analysis.
struct canary_verdict
{
    bool is_bad = false;      ///< whether the target is to be rolled back
    std::string evidence;     ///< the test and route with the highest score
    double highest_score = 0; ///< of all tests; bad from 1 on
    double responses = 0;     ///< of the target that were analyzed
};

/// Compares the target's responses with those of the old version in the same
/// seconds: failures, time to the first event and time between events, on each
/// route and on all routes together. Each test is a CUSUM: a sum of
/// log-likelihood ratios that never falls below zero. A version that turns bad
/// late is thus detected as fast as one that is bad from the start. Faults that
/// affect both versions lead to a rollback of neither. See
/// docs/design/rollouts.md.
class canary_analysis
{
public:
    /// Evaluates new responses; to be called regularly.
    /// @param statistics cumulative, since the order
    void update(const rollout_statistics& statistics);

    /// @return the result for all responses so far
    [[nodiscard]] canary_verdict verdict() const;

private:
    /// The state of one route; the empty name stands for all routes together.
    struct route_state
    {
        response_statistics previous_old;
        response_statistics previous_target;
        /// With slow and fast decay.
        std::array<response_statistics, 2> recent_old;
        cusum_scores scores;
    };

    void update_route(route_state& route,
                      const response_statistics& old_version,
                      const response_statistics& target);

    std::map<std::string, route_state> m_routes;
    double m_responses = 0;
};

} // namespace daleshelf
