/// @file
/// Checks whether the simulated upstream got more requests than its limit.
#pragma once

#include "limit_fleet.hpp"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace daleshelf
{

/// A request that arrived at the upstream.
struct limit_arrival
{
    absl::Time at;
    /// Whether its host had already forwarded a limit for long enough.
    bool is_counted = false;
};

/// @param since time from the start of the simulation
/// @return the limit that the upstream advertises then
[[nodiscard]] std::optional<double> limit_at(const limit_scenario& scenario,
                                             absl::Duration since);

/// Checks every window of the platform's rule, and computes the used fraction
/// of the limit.
/// @param start start of the simulation
/// @param arrivals in order of time
/// @param result receives the results
void check_arrivals(const limit_scenario& scenario, absl::Time start,
                    const std::vector<limit_arrival>& arrivals,
                    limit_result& result);

} // namespace daleshelf
