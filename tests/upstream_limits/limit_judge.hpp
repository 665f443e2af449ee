/// @file
/// Whether an upstream of the model got more than its limit.
#pragma once

#include "limit_fleet.hpp"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace daleshelf
{

/// One request that has reached the upstream.
struct limit_arrival
{
    absl::Time at;
    bool is_told = false; ///< its host had passed a limit on long enough before
};

/// @param since time from the start of the play
/// @return the limit that the upstream names then
[[nodiscard]] std::optional<double> limit_at(const limit_plan& plan,
                                             absl::Duration since);

/// Judges every window of the platform's rule, and how much of the limit was
/// used.
/// @param arrivals in the order of their times
/// @param outcome gets the result
void judge_arrivals(const limit_plan& plan, absl::Time start,
                    const std::vector<limit_arrival>& arrivals,
                    limit_outcome& outcome);

} // namespace daleshelf
