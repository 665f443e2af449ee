#include "scale_planner.hpp"

#include <algorithm>
#include <cmath>
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

} // namespace

scale_plan plan_servers(const scaling_limits& limits, double busy,
                        const std::map<hall_id, int>& spot_limit,
                        const scale_options& options)
{
    scale_plan plan;
    const auto halls = halls_by_price(limits);
    // 1. On-demand servers as a floor.
    const auto floor =
        std::max(options.least_on_demand,
                 static_cast<int>(std::ceil(busy * options.on_demand_factor)));
    for (const auto& hall : halls)
    {
        plan[hall] = {};
    }
    add_evenly(plan, halls, &scale_target::on_demand, floor, limits.most);
    // 2. Spot servers where they are to be had: one in each hall at least, so
    // that a hall that is cut off has servers.
    const auto wanted =
        static_cast<int>(std::ceil(busy * options.total_factor));
    const auto total = std::max(wanted, floor + static_cast<int>(halls.size()));
    std::vector<hall_id> with_spot;
    for (const auto& hall : halls)
    {
        const auto limit = spot_limit.find(hall);
        if (limit != spot_limit.end())
        {
            plan[hall].spot = limit->second;
        }
        else if (limits.spot_price > 0)
        {
            with_spot.push_back(hall);
        }
    }
    add_evenly(plan, with_spot, &scale_target::spot, total - total_of(plan),
               limits.most);
    // 3. What is still missing has to be on demand, but for the reserve.
    const auto needed =
        static_cast<int>(std::ceil(busy * options.dry_factor)) - total_of(plan);
    add_evenly(plan, halls, &scale_target::on_demand, std::max(0, needed),
               limits.most);
    for (auto& [hall, target] : plan)
    {
        const auto missing = limits.least - total_of(target);
        target.on_demand += std::max(0, missing);
    }
    return plan;
}

} // namespace daleshelf
