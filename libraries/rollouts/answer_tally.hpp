/// @file
/// What was seen of one version's answers.
#pragma once

#include "time_histogram.hpp"

#include <map>
#include <string>

namespace daleshelf
{

/// One answer, or its failure.
struct answer_seen
{
    bool is_failure = false;
    /// To the whole answer, or to the first event against what was expected of
    /// it, in percent; 0: unknown.
    double first = 0;
    double gap_ms = 0; ///< mean time between events; 0: none
};

/// Answers of one version on one route.
struct answer_tally
{
    double answers = 0;
    double failures = 0;
    time_histogram first;
    time_histogram gaps;

    void add(const answer_seen& seen);

    /// Lets what was counted fade.
    void scale(double factor);

    answer_tally& operator+=(const answer_tally& other);

    /// @return what this one has more than an earlier state of it
    [[nodiscard]] answer_tally since(const answer_tally& earlier) const;

    friend bool operator==(const answer_tally&, const answer_tally&) = default;
};

using tallies_by_route = std::map<std::string, answer_tally>;

/// What was seen of both versions since an order was known.
struct rollout_tallies
{
    std::int64_t sent_old = 0;
    std::int64_t sent_target = 0;
    tallies_by_route old_version;
    tallies_by_route target;

    /// @return requests sent to either version
    [[nodiscard]] std::int64_t sent() const
    {
        return sent_old + sent_target;
    }

    rollout_tallies& operator+=(const rollout_tallies& other);

    friend bool operator==(const rollout_tallies&,
                           const rollout_tallies&) = default;
};

} // namespace daleshelf
