#include "scale_planner.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

namespace daleshelf
{

namespace
{

std::vector<hall_id> halls_by_price(const scaling_limits& limits)
{
    std::vector<std::pair<double, hall_id>> priced;
    for (const auto& [hall, price] : limits.hall_prices)
    {
        priced.emplace_back(price, hall);
    }
    std::sort(priced.begin(), priced.end());
    std::vector<hall_id> halls;
    halls.reserve(priced.size());
    for (auto& [price, hall] : priced)
    {
        halls.push_back(std::move(hall));
    }
    return halls;
}

int total_of(const scale_target& target)
{
    return target.on_demand + target.spot;
}

int total_of(const scale_plan& plan)
{
    int total = 0;
    for (const auto& [hall, target] : plan)
    {
        total += total_of(target);
    }
    return total;
}

int divide_rounding_up(int value, int divisor)
{
    return (value + divisor - 1) / divisor;
}

// Adds `wanted` upstreams one by one, round robin over the halls, up to the
// limit of each hall.
void add_evenly(scale_plan& plan, const std::vector<hall_id>& halls,
                int scale_target::*kind, int wanted, int hall_limit)
{
    bool has_room = true;
    while (wanted > 0 && has_room)
    {
        has_room = false;
        for (const auto& hall : halls)
        {
            auto& target = plan[hall];
            if (wanted == 0 || total_of(target) >= hall_limit)
            {
                continue;
            }
            target.*kind += 1;
            --wanted;
            has_room = true;
        }
    }
}

/// Number of upstreams of each kind over all halls.
struct server_mix
{
    int on_demand = 0;
    int spot = 0;
};

// @return the spot upstreams that are needed in addition to the on-demand ones,
// evenly over the halls; nothing if no number meets the need
std::optional<int> spot_needed(int on_demand, int halls,
                               const server_need& need,
                               const scale_options& options)
{
    const auto spare = std::min(options.spare_halls, halls);
    const auto missing = need.minimum - on_demand;
    if (halls == spare && missing > 0)
    {
        return std::nullopt;
    }
    auto spot = std::max(0, need.preferred - on_demand);
    if (missing > 0)
    {
        // The loss of the spare halls must leave enough in the others.
        spot =
            std::max(spot, divide_rounding_up(missing, halls - spare) * halls);
    }
    return halls == 0 ? spot : std::max(spot, halls);
}

// @param spot_halls number of halls with spot capacity
server_mix cheapest_mix(int spot_halls, double spot_price,
                        const server_need& need, const scale_options& options)
{
    const auto without_spot =
        need.minimum +
        static_cast<int>((need.preferred - need.minimum) * options.dry_part);
    server_mix best{std::max(options.least_on_demand, without_spot), 0};
    if (spot_halls == 0)
    {
        return best;
    }
    auto best_cost = std::numeric_limits<double>::infinity();
    for (auto on_demand = options.least_on_demand;
         on_demand <= std::max(need.preferred, options.least_on_demand);
         ++on_demand)
    {
        const auto spot = spot_needed(on_demand, spot_halls, need, options);
        if (!spot)
        {
            continue;
        }
        const auto cost = on_demand + *spot * spot_price;
        if (cost < best_cost)
        {
            best_cost = cost;
            best = {on_demand, *spot};
        }
    }
    return best;
}

} // namespace

scale_plan plan_servers(const scaling_limits& limits, const server_need& need,
                        const std::map<hall_id, int>& spot_limit,
                        const scale_options& options)
{
    scale_plan plan;
    const auto halls = halls_by_price(limits);
    // 1. Halls without further spot capacity keep their spot upstreams.
    std::vector<hall_id> halls_with_spot;
    int existing_spot = 0;
    for (const auto& hall : halls)
    {
        plan[hall] = {};
        const auto limit = spot_limit.find(hall);
        if (limit != spot_limit.end())
        {
            plan[hall].spot = limit->second;
            existing_spot += limit->second;
        }
        else if (limits.spot_price > 0)
        {
            halls_with_spot.push_back(hall);
        }
    }
    // 2. Cheapest mix for the rest: on-demand upstreams in the cheapest halls
    // first, spot upstreams in every hall, so that a partitioned hall has some.
    const server_need rest{std::max(1, need.preferred - existing_spot),
                           std::max(1, need.minimum - existing_spot)};
    const auto mix = cheapest_mix(static_cast<int>(halls_with_spot.size()),
                                  limits.spot_price, rest, options);
    add_evenly(plan, halls, &scale_target::on_demand, mix.on_demand,
               limits.max_servers);
    add_evenly(plan, halls_with_spot, &scale_target::spot, mix.spot,
               limits.max_servers);
    // 3. The part of the minimum that exceeds the limits of its halls is placed
    // on demand in other halls.
    add_evenly(plan, halls, &scale_target::on_demand,
               std::max(0, need.minimum - total_of(plan)), limits.max_servers);
    for (auto& [hall, target] : plan)
    {
        const auto missing = limits.min_servers - total_of(target);
        target.on_demand += std::max(0, missing);
    }
    return plan;
}

} // namespace daleshelf
