/// @file
/// What was seen of one version's answers.
#pragma once

#include "time_histogram.hpp"

#include <map>
#include <string>

namespace daleshelf
{

/// One answer, or its failure.
struct response_sample
{
    bool is_failure = false;
    /// To the whole answer, or to the first event against what was expected of
    /// it, in percent; 0: unknown.
    double first = 0;
    double gap_ms = 0; ///< mean time between events; 0: none
};

/// Answers of one version on one route.
struct response_statistics
{
    double answers = 0;
    double failures = 0;
    time_histogram first;
    time_histogram gaps;

    void add(const response_sample& seen);

    /// Lets what was counted fade.
    void scale(double factor);

    response_statistics& operator+=(const response_statistics& other);

    /// @return what this one has more than an earlier state of it
    [[nodiscard]] response_statistics
    since(const response_statistics& earlier) const;

    friend bool operator==(const response_statistics&,
                           const response_statistics&) = default;
};

using statistics_by_route = std::map<std::string, response_statistics>;

/// What was seen of both versions since an order was known.
struct rollout_statistics
{
    std::int64_t sent_old = 0;
    std::int64_t sent_target = 0;
    statistics_by_route old_version;
    statistics_by_route target;

    /// @return requests sent to either version
    [[nodiscard]] std::int64_t sent() const
    {
        return sent_old + sent_target;
    }

    rollout_statistics& operator+=(const rollout_statistics& other);

    friend bool operator==(const rollout_statistics&,
                           const rollout_statistics&) = default;
};

} // namespace daleshelf
