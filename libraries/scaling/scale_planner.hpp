/// @file
/// How many servers each hall is to have.
#pragma once

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
    /// On-demand servers for each that is kept busy: they alone must do while
    /// spot servers are taken away.
    double on_demand_factor = 1.05;
    /// All servers for each that is kept busy.
    double total_factor = 2.6;
    /// All servers for each that is kept busy, while spot is not to be had.
    double dry_factor = 1.4;
    int least_on_demand = 2;
};

/// Plans one service: on-demand servers as a floor, the cheapest halls first,
/// and spot servers in every hall beside them. See docs/design/platform.md.
/// @param limits the service's limits and prices
/// @param busy servers that requests keep busy
/// @param spot_limit most spot servers of halls where no more are to be had
[[nodiscard]] scale_plan plan_servers(const scaling_limits& limits, double busy,
                                      const std::map<hall_id, int>& spot_limit,
                                      const scale_options& options);

} // namespace daleshelf
