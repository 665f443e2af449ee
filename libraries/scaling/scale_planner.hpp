/// @file
/// How many servers each hall is to have.
#pragma once

#include "capacity.hpp"

#include <ingress/ingress_configuration.hpp>
#include <map>

namespace daleshelf
{

/// How many servers of each kind a hall is to have.
struct scale_target
{
    int on_demand = 0;
    int spot = 0;

    friend auto operator<=>(const scale_target&, const scale_target&) = default;
};

/// Targets by hall.
using scale_plan = std::map<hall_id, scale_target>;

/// Options of the plan.
struct scale_options
{
    /// On-demand servers that are there whatever is cheapest: when every spot
    /// server is taken away, some serve until others have started. Without
    /// them the two worst windows of a day with reclaims and cuts earned 0.28
    /// in place of 0.44 (six hosts, three plays each).
    int least_on_demand = 2;
    /// Halls whose spot servers may all be taken away at the same time, while
    /// the need of the others is still met at its least.
    int spare_halls = 1;
    /// Where no spot server is to be had, so much of the way from the least to
    /// the usual need is bought on demand.
    double dry_part = 0.5;
};

/// Plans one service: the mix of on-demand and spot servers that costs least,
/// of those that meet the usual need, and the least need when the spot servers
/// of some halls are taken away. See docs/design/engines.md.
/// @param limits the service's limits and prices
/// @param spot_limit most spot servers of halls where no more are to be had
[[nodiscard]] scale_plan plan_servers(const scaling_limits& limits,
                                      const server_need& need,
                                      const std::map<hall_id, int>& spot_limit,
                                      const scale_options& options);

} // namespace daleshelf
