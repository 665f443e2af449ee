#include "limit_fleet.hpp"

#include <gtest/gtest.h>

namespace daleshelf
{
namespace
{

void expect_within_rule(const limit_scenario& scenario, std::uint32_t seed)
{
    const auto result = simulate_limits(scenario, seed);
    EXPECT_LE(result.max_excess, 0) << scenario.hosts << " hosts, seed " << seed
                                    << ", " << result.arrived << " requests";
}

TEST(limit_fleet, detects_hosts_that_ignore_a_limit)
{
    limit_scenario scenario;
    scenario.strategy = limit_strategy::unlimited;
    EXPECT_GT(simulate_limits(scenario, 1).max_excess, 0);
}

TEST(limit_fleet, drawn_fleets_stay_within_the_limit)
{
    for (std::uint32_t seed = 1; seed <= 8; ++seed)
    {
        expect_within_rule(random_limit_scenario(seed), seed);
    }
}

TEST(limit_fleet, a_limit_that_is_small_beside_the_fleet_holds)
{
    for (const int hosts : {8, 55, 295})
    {
        limit_scenario scenario;
        scenario.hosts = hosts;
        scenario.demand = 100;
        expect_within_rule(scenario, 1);
    }
}

TEST(limit_fleet, a_limit_that_is_asked_for_is_used)
{
    limit_scenario scenario;
    scenario.steps = {{2, 10.0}};
    scenario.demand = 40;
    EXPECT_GT(simulate_limits(scenario, 1).used_fraction, 0.9);
    scenario.hosts = 295;
    EXPECT_GT(simulate_limits(scenario, 1).used_fraction, 0.8);
}

TEST(limit_fleet, a_limit_holds_through_troubles)
{
    using kind = limit_scenario_fault::kind;
    const std::vector<limit_scenario_fault> faults{
        {kind::kill, 8, 1, 0.3},   {kind::kill, 8, 1, 1},
        {kind::freeze, 8, 2, 0.3}, {kind::hall_cut, 8, 6, 0},
        {kind::split, 8, 10, 0},   {kind::loss, 2, 18, 0}};
    for (const auto& fault : faults)
    {
        for (std::uint32_t seed = 101; seed <= 104; ++seed)
        {
            auto scenario = random_limit_scenario(seed);
            scenario.faults = {fault};
            expect_within_rule(scenario, seed);
        }
    }
}

TEST(limit_fleet, a_limit_that_ends_is_forgotten)
{
    limit_scenario scenario;
    scenario.demand = 50;
    scenario.steps = {{2, 1.0}, {8, std::nullopt}};
    EXPECT_GT(simulate_limits(scenario, 1).arrived, 50 * 10);
}

TEST(limit_fleet, the_end_of_a_zero_limit_is_noticed)
{
    limit_scenario scenario;
    scenario.demand = 50;
    scenario.steps = {{2, 0.0}, {10, std::nullopt}};
    const auto result = simulate_limits(scenario, 1);
    EXPECT_LE(result.max_excess, 0);
    EXPECT_GT(result.arrived, 50 * 4);
}

} // namespace
} // namespace daleshelf
