/// @file
/// Whether a version answers worse than the one that it is to replace.
#pragma once

#include "answer_tally.hpp"

#include <array>
#include <map>
#include <string>

namespace daleshelf
{

/// What the tests of one route have added up.
struct test_sums
{
    double failures = 0;
    double first = 0; ///< slow answers, or first events
    double gaps = 0;  ///< slow events after the first
};

/// What the judge has against a version.
struct judgement
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
class version_judge
{
public:
    /// Takes all that was seen since the order, from time to time.
    void update(const rollout_tallies& seen);

    [[nodiscard]] judgement verdict() const;

private:
    /// Of one route; the empty name stands for all together.
    struct route_state
    {
        answer_tally old_before;
        answer_tally target_before;
        std::array<answer_tally, 2> old_lately; ///< fade, slowly and fast
        test_sums sums;
    };

    void update_route(route_state& route, const answer_tally& old_version,
                      const answer_tally& target);

    std::map<std::string, route_state> m_routes;
    double m_answers = 0;
};

} // namespace daleshelf
