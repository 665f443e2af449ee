/// @file
/// Whether a version answers worse than the one that it is to replace.
#pragma once

#include "response_statistics.hpp"

#include <array>
#include <map>
#include <string>

namespace daleshelf
{

/// What the tests of one route have added up.
struct cusum_scores
{
    double failures = 0;
    double first = 0; ///< slow answers, or first events
    double gaps = 0;  ///< slow events after the first
};

/// What the judge has against a version.
struct canary_verdict
{
    bool is_bad = false;
    std::string proof;    ///< the test and route that showed it
    double strongest = 0; ///< of all tests, against the bound of 1
    double answers = 0;   ///< of the target, that were judged
};

/// Compares the target's answers with those of the old version in the same
/// seconds: failures, time to the first event and between events, on each route
/// and on all together. Each test is a cumulative sum of log-likelihood ratios
/// that never falls below nothing, so that a version which turns bad late is
/// found as fast as one that begins bad, and trouble that strikes both versions
/// condemns neither. See docs/design/rollouts.md.
class canary_analysis
{
public:
    /// Takes all that was seen since the order, from time to time.
    void update(const rollout_statistics& seen);

    [[nodiscard]] canary_verdict verdict() const;

private:
    /// Of one route; the empty name stands for all together.
    struct route_state
    {
        response_statistics old_before;
        response_statistics target_before;
        std::array<response_statistics, 2>
            old_lately; ///< fade, slowly and fast
        cusum_scores sums;
    };

    void update_route(route_state& route,
                      const response_statistics& old_version,
                      const response_statistics& target);

    std::map<std::string, route_state> m_routes;
    double m_answers = 0;
};

} // namespace daleshelf
