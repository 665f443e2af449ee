/// @file
/// Plans the number of upstreams per hall.
#pragma once

#include "capacity.hpp"

#include <ingress/ingress_configuration.hpp>
#include <map>

namespace daleshelf
{

/// Target number of upstreams of each kind in one hall.
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
    /// Lowest number of on-demand upstreams, whatever the cheapest mix is: when
    /// every spot upstream is reclaimed, these serve until others have started.
    /// Without them the two worst windows of a day with reclaims and partitions
    /// scored 0.28 instead of 0.44 (six hosts, three simulations each).
    int least_on_demand = 2;
    /// Number of halls that may lose all spot upstreams at the same time while
    /// the others still provide the minimum.
    int spare_halls = 1;
    /// Fraction of the difference between the minimum and the preferred number
    /// that is ordered on demand where there is no spot capacity.
    double dry_part = 0.5;
};

/// Plans one service: the cheapest mix of on-demand and spot upstreams that
/// provides the preferred number, and still provides the minimum after the spot
/// upstreams of the spare halls are reclaimed. See docs/design/engines.md.
/// @param limits the service's limits and prices
/// @param need minimum and preferred number of upstreams
/// @param spot_limit number of spot upstreams of halls without further spot
/// capacity
/// @param options safety margins of the plan
/// @return targets by hall
[[nodiscard]] scale_plan plan_servers(const scaling_limits& limits,
                                      const server_need& need,
                                      const std::map<hall_id, int>& spot_limit,
                                      const scale_options& options);

} // namespace daleshelf
