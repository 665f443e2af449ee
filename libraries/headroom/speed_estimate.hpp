/// @file
/// Speed of one upstream relative to its service.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <ingress/upstream_incarnation.hpp>

namespace daleshelf
{

/// One duration at an upstream, relative to what was expected of its service.
struct speed_observation
{
    upstream_incarnation server;
    double slowdown = 1; ///< observed duration by expected duration
    absl::Time observed_at;
};

/// How much slower an upstream is than the mean of its service.
struct speed_estimate
{
    double slowdown = 1; ///< long-term; 1: as fast as the mean
    /// Further factor while this host observes that it is slow; at least 1.
    double recent = 1;
    /// The same factor as peers report it. It is kept apart from `recent` so
    /// that no host reports what it got from its peers: two hosts would renew
    /// each other's reports without end.
    double reported = 1;
    double weight = 0; ///< decayed number of observations
    absl::Time observed_at = absl::InfinitePast(); ///< newest observation

    /// Largest slowdown. A stalled stream says little about how slow the
    /// upstream is.
    static constexpr double max_slowdown = 8;

    /// @return the factor by which durations at the upstream are longer now;
    /// 1/8 to 8
    [[nodiscard]] double current() const
    {
        return std::min(slowdown * std::max(recent, reported), max_slowdown);
    }
};

} // namespace daleshelf
