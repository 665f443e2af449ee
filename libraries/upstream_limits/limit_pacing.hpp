/// @file
/// Back-off between requests to keepers for tokens of an upstream's limit.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>

namespace daleshelf
{

/// Computes the back-off of a host whose grant request was rejected. Together
/// the hosts of a fleet send a few grant requests for each request that the
/// upstream accepts: enough to use up its limit, without flooding the keepers
/// when the limit is small relative to the fleet.
/// @param per_second the upstream's limit in requests per second
/// @param hosts number of hosts of the fleet
/// @param random from 0 to 1; adds jitter so that hosts do not retry at the
/// same time
/// @return the time until the host may request a grant again
[[nodiscard]] inline absl::Duration
grant_back_off(double per_second, std::size_t hosts, double random)
{
    constexpr double attempts_per_request = 4;
    constexpr absl::Duration min_back_off = absl::Milliseconds(5);
    constexpr absl::Duration max_back_off = absl::Seconds(2);
    const auto mean = absl::Seconds(static_cast<double>(hosts) /
                                    (per_second * attempts_per_request));
    return std::clamp(mean, min_back_off, max_back_off) * (0.5 + random);
}

} // namespace daleshelf
