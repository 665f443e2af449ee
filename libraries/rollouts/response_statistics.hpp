/// @file
/// Statistics of the responses of service versions.
#pragma once

#include "time_histogram.hpp"

#include <map>
#include <string>

namespace daleshelf
{

/// The measurements of one response, which may be a failure.
struct response_sample
{
    bool is_failure = false;
    /// Milliseconds until the response is complete; for engines, the time to
    /// the first event as a percentage of the estimate; 0: unknown.
    double first_latency = 0;
    double gap_ms = 0; ///< mean time between events; 0: unknown
};

/// Response statistics of one version on one route.
struct response_statistics
{
    double responses = 0;
    double failures = 0;
    time_histogram first_latency;
    time_histogram gaps;

    /// Counts one response.
    void add(const response_sample& sample);

    /// Multiplies all counts by a factor, for exponential decay.
    void scale(double factor);

    response_statistics& operator+=(const response_statistics& other);

    /// @param earlier a previous state of these statistics
    /// @return the counts added since then
    [[nodiscard]] response_statistics
    since(const response_statistics& earlier) const;

    friend bool operator==(const response_statistics&,
                           const response_statistics&) = default;
};

using statistics_by_route = std::map<std::string, response_statistics>;

/// Requests sent and responses received, by version, since an order became
/// known.
struct rollout_statistics
{
    std::int64_t sent_old = 0;
    std::int64_t sent_target = 0;
    statistics_by_route old_version;
    statistics_by_route target;

    /// @return the number of requests sent to either version
    [[nodiscard]] std::int64_t sent() const
    {
        return sent_old + sent_target;
    }

    rollout_statistics& operator+=(const rollout_statistics& other);

    friend bool operator==(const rollout_statistics&,
                           const rollout_statistics&) = default;
};

} // namespace daleshelf
