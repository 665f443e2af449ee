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

int rounded_up(int value, int divisor)
{
    return (value + divisor - 1) / divisor;
}

// Adds servers one by one, hall after hall, until `wanted` are added.
void add_evenly(scale_plan& plan, const std::vector<hall_id>& halls,
                int scale_target::*kind, int wanted, int most_in_hall)
{
    bool has_room = true;
    while (wanted > 0 && has_room)
    {
        has_room = false;
        for (const auto& hall : halls)
        {
            auto& target = plan[hall];
            if (wanted == 0 || total_of(target) >= most_in_hall)
            {
                continue;
            }
            target.*kind += 1;
            --wanted;
            has_room = true;
        }
    }
}

/// Servers of each kind, over all halls.
struct server_mix
{
    int on_demand = 0;
    int spot = 0;
};

// Spot servers beside so many on demand, evenly in so many halls.
// @return nothing if no number of them meets the need
std::optional<int> spot_beside(int on_demand, int halls,
                               const server_need& need,
                               const scale_options& options)
{
    const auto spare = std::min(options.spare_halls, halls);
    const auto missing = need.least - on_demand;
    if (halls == spare && missing > 0)
    {
        return std::nullopt;
    }
    auto spot = std::max(0, need.usual - on_demand);
    if (missing > 0)
    {
        // A hall that is taken away leaves what the others have.
        spot = std::max(spot, rounded_up(missing, halls - spare) * halls);
    }
    return halls == 0 ? spot : std::max(spot, halls);
}

// @param spot_halls halls where spot servers are to be had
server_mix cheapest_mix(int spot_halls, double spot_price,
                        const server_need& need, const scale_options& options)
{
    const auto dry = need.least + static_cast<int>((need.usual - need.least) *
                                                   options.dry_part);
    server_mix best{std::max(options.least_on_demand, dry), 0};
    if (spot_halls == 0)
    {
        return best;
    }
    auto best_cost = std::numeric_limits<double>::infinity();
    for (auto on_demand = options.least_on_demand;
         on_demand <= std::max(need.usual, options.least_on_demand);
         ++on_demand)
    {
        const auto spot = spot_beside(on_demand, spot_halls, need, options);
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
    // 1. Halls where no more spot servers are to be had keep what they have.
    std::vector<hall_id> with_spot;
    int kept = 0;
    for (const auto& hall : halls)
    {
        plan[hall] = {};
        const auto limit = spot_limit.find(hall);
        if (limit != spot_limit.end())
        {
            plan[hall].spot = limit->second;
            kept += limit->second;
        }
        else if (limits.spot_price > 0)
        {
            with_spot.push_back(hall);
        }
    }
    // 2. The cheapest mix of the rest: on demand in the cheapest halls first,
    // spot in every hall, so that one that is cut off has servers.
    const server_need rest{std::max(1, need.usual - kept),
                           std::max(1, need.least - kept)};
    const auto mix = cheapest_mix(static_cast<int>(with_spot.size()),
                                  limits.spot_price, rest, options);
    add_evenly(plan, halls, &scale_target::on_demand, mix.on_demand,
               limits.max_servers);
    add_evenly(plan, with_spot, &scale_target::spot, mix.spot,
               limits.max_servers);
    // 3. What halls had no room for has to be on demand elsewhere.
    add_evenly(plan, halls, &scale_target::on_demand,
               std::max(0, need.least - total_of(plan)), limits.max_servers);
    for (auto& [hall, target] : plan)
    {
        const auto missing = limits.min_servers - total_of(target);
        target.on_demand += std::max(0, missing);
    }
    return plan;
}

} // namespace daleshelf
