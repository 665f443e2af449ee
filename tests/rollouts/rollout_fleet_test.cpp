#include "rollout_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daleshelf
{
namespace
{

using kind = rollout_fault::kind;

rollout_fleet_outcome run(const rollout_scenario& scenario)
{
    rollout_fleet fleet(scenario);
    return fleet.run();
}

double allowed(const rollout_fleet_outcome& outcome)
{
    return outcome.sent * rollout_fleet::bound.share +
           rollout_fleet::bound.slack;
}

const std::vector<target_behaviour> bad_kinds{
    {0.3, 0, 0, false},    {0.6, 0, 0, false}, {0, 0.5, 0, false},
    {0.5, 0, 6, false},    {0, 0.6, 6, false}, {0.8, 0, 0, true},
    {0.25, 0.25, 3, false}};

TEST(rollout_fleet, good_versions_are_completed_in_time)
{
    int late_count = 0;
    int rolled_back_count = 0;
    constexpr int seeds = 200;
    for (const int hosts : {6, 70, 295})
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            rollout_scenario scenario;
            scenario.hosts = hosts;
            scenario.requests_per_second = hosts > 70 ? 400 : 160;
            scenario.seed = seed;
            const auto outcome = run(scenario);
            rolled_back_count +=
                outcome.final_phase == rollout_phase::rolled_back ? 1 : 0;
            late_count += outcome.ended_at >= scenario.duration ? 1 : 0;
            EXPECT_LE(outcome.exposed, allowed(outcome)) << hosts;
        }
    }
    // One in 200 of 600 runs.
    EXPECT_LE(late_count, 3);
    EXPECT_LE(rolled_back_count, 3);
}

TEST(rollout_fleet, bad_versions_are_rolled_back_and_none_is_completed)
{
    for (const auto& kind_of : bad_kinds)
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            rollout_scenario scenario;
            scenario.target = kind_of;
            scenario.seed = seed;
            const auto outcome = run(scenario);
            EXPECT_EQ(outcome.final_phase, rollout_phase::rolled_back)
                << kind_of.failure_rate << " " << kind_of.slow_rate << " from "
                << kind_of.from_second << ", seed " << seed;
            EXPECT_LE(outcome.exposed, allowed(outcome));
            EXPECT_EQ(outcome.exposed_late, 0);
        }
    }
}

// With this many bad responses before the move, a version must be detected.
constexpr double detectable_bad_responses = 20;

rollout_fault any_fault()
{
    rollout_fault fault;
    fault.what = *rc::gen::element(kind::crash, kind::partition, kind::pause,
                                   kind::packet_loss, kind::crash_holder,
                                   kind::store_outage);
    fault.at = *rc::gen::inRange(0, 16);
    fault.seconds = *rc::gen::inRange(1, 8);
    fault.share = *rc::gen::element(0.1, 0.3, 0.6, 1.0);
    return fault;
}

// Holds under any combination of host, network and store faults.
RC_GTEST_PROP(rollout_fleet, no_version_gets_more_than_it_may, ())
{
    rollout_scenario scenario;
    scenario.hosts = *rc::gen::element(6, 20, 70, 150);
    scenario.requests_per_second = *rc::gen::element(40.0, 160.0, 400.0);
    scenario.duration = *rc::gen::element(8.0, 14.0, 30.0);
    scenario.target = *rc::gen::elementOf(bad_kinds);
    scenario.seed = *rc::gen::inRange<std::uint32_t>(1, 1'000'000);
    const auto faults = *rc::gen::inRange(0, 4);
    for (int number = 0; number < faults; ++number)
    {
        scenario.faults.push_back(any_fault());
        const auto& last = scenario.faults.back();
        RC_LOG() << "fault " << static_cast<int>(last.what) << " at " << last.at
                 << " for " << last.seconds << ", share " << last.share << '\n';
    }
    const auto outcome = run(scenario);
    RC_LOG() << outcome.exposed << " of " << outcome.sent << ", end "
             << (outcome.final_phase ? static_cast<int>(*outcome.final_phase)
                                     : -1)
             << " at " << outcome.ended_at << ", bad " << outcome.bad_responses
             << ", hosts " << scenario.hosts << ", rate "
             << scenario.requests_per_second << ", for " << scenario.duration
             << ", failures " << scenario.target.failure_rate << ", slow "
             << scenario.target.slow_rate << ", from "
             << scenario.target.from_second
             << (scenario.target.on_one_route ? ", one route" : "") << '\n';
    RC_ASSERT(outcome.exposed <= allowed(outcome));
    // A version that turns bad just before completion cannot be detected.
    const bool is_completed = outcome.final_phase == rollout_phase::completed;
    RC_ASSERT(!is_completed ||
              outcome.bad_before_move < detectable_bad_responses);
    RC_ASSERT(is_completed || outcome.exposed_late == 0);
}

} // namespace
} // namespace daleshelf
