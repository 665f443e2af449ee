/// @file
/// How often hosts ask keepers for a request within an upstream's limit.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>

namespace daleshelf
{

/// Paces the hosts of a fleet so that together they ask a few times for each
/// request that the upstream takes: enough to use its limit up, without
/// flooding the keepers when the limit is small beside the fleet.
/// @param per_second the upstream's limit
/// @param hosts of the fleet
/// @param random from 0 to 1, so that hosts do not ask at the same time
/// @return for how long a host that was granted nothing does not ask again
[[nodiscard]] inline absl::Duration
pass_over_time(double per_second, std::size_t hosts, double random)
{
    constexpr double asks_a_request = 4;
    constexpr absl::Duration shortest = absl::Milliseconds(5);
    constexpr absl::Duration longest = absl::Seconds(2);
    const auto mean = absl::Seconds(static_cast<double>(hosts) /
                                    (per_second * asks_a_request));
    return std::clamp(mean, shortest, longest) * (0.5 + random);
}

} // namespace daleshelf
