#include "brittle_fleet.hpp"

#include <gtest/gtest.h>

namespace daleshelf
{
namespace
{

void expect_no_crash(const brittle_scenario& scenario, std::uint32_t seed)
{
    const auto result = simulate_brittle(scenario, seed);
    EXPECT_EQ(result.crashes, 0)
        << scenario.hosts << " hosts, seed " << seed << ", "
        << result.most_rejections << " rejections in a second where "
        << scenario.rejections << " are tolerated";
}

// Half as much again as the upstreams can serve, from the start.
brittle_scenario large_fleet()
{
    brittle_scenario scenario;
    scenario.hosts = 985;
    scenario.servers = 30;
    scenario.slots = 16;
    scenario.work = 0.5;
    scenario.demand = 1440;
    scenario.brittle_at = 0;
    scenario.seconds = 8;
    return scenario;
}

TEST(brittle_fleet, detects_hosts_that_ignore_rejection_limits)
{
    brittle_scenario scenario;
    scenario.strategy = brittle_strategy::none;
    scenario.burst = 4;
    EXPECT_GT(simulate_brittle(scenario, 1).counted_crashes,
              tolerated_crashes(scenario));
}

TEST(brittle_fleet, a_burst_at_72_hosts_crashes_no_brittle_upstream)
{
    for (const int rejections : {1, 4})
    {
        for (std::uint32_t seed = 1; seed <= 4; ++seed)
        {
            brittle_scenario scenario;
            scenario.rejections = rejections;
            scenario.burst = 4;
            expect_no_crash(scenario, seed);
        }
    }
}

TEST(brittle_fleet, a_burst_at_8_hosts_crashes_no_brittle_upstream)
{
    for (std::uint32_t seed = 1; seed <= 4; ++seed)
    {
        brittle_scenario scenario;
        scenario.hosts = 8;
        scenario.burst = 4;
        expect_no_crash(scenario, seed);
    }
}

TEST(brittle_fleet, a_burst_at_985_hosts_crashes_no_brittle_upstream)
{
    expect_no_crash(large_fleet(), 1);
}

// The rule does not count crashes by hosts that have just restarted.
TEST(brittle_fleet, no_upstream_crashes_while_hosts_or_upstreams_are_lost)
{
    using kind = brittle_fault::kind;
    const std::vector<brittle_fault> faults{
        {kind::kill, 12, 1, 0.3},  {kind::kill, 12, 6, 0.3},
        {kind::kill, 12, 1, 1},    {kind::hall_cut, 12, 6, 0},
        {kind::crash, 12, 0, 0.4}, {kind::crash, 12, 0, 1},
        {kind::loss, 2, 28, 0}};
    for (const auto& fault : faults)
    {
        for (std::uint32_t seed = 11; seed <= 13; ++seed)
        {
            brittle_scenario scenario;
            scenario.burst = 4;
            scenario.faults = {fault};
            const auto result = simulate_brittle(scenario, seed);
            EXPECT_EQ(result.counted_crashes, 0)
                << "fault " << static_cast<int>(fault.type) << " of "
                << fault.share << ", seed " << seed;
        }
    }
}

TEST(brittle_fleet, the_slots_are_used_while_callers_are_rejected)
{
    brittle_scenario scenario;
    scenario.burst = 8;
    EXPECT_GE(simulate_brittle(scenario, 1).used_fraction, 0.9);
    scenario.burst = 1;
    const auto calm = simulate_brittle(scenario, 1);
    EXPECT_GE(calm.served, 0.99 * calm.sent);
}

} // namespace
} // namespace daleshelf
