#include <gtest/gtest.h>

#include <scaling/demand_meter.hpp>
#include <scaling/initial_fleet.hpp>
#include <scaling/scale_planner.hpp>
#include <scaling/work_estimate.hpp>

namespace daleshelf
{
namespace
{

const hall_id cheap("cheap");
const hall_id middle("middle");
const hall_id dear("dear");

scaling_limits make_limits()
{
    scaling_limits limits;
    limits.is_scalable = true;
    limits.least = 1;
    limits.most = 6;
    limits.spot_price = 0.22;
    limits.hall_prices = {{cheap, 0.85}, {middle, 1.0}, {dear, 1.2}};
    return limits;
}

int total_of(const scale_plan& plan)
{
    int total = 0;
    for (const auto& [hall, target] : plan)
    {
        total += target.on_demand + target.spot;
    }
    return total;
}

TEST(scale_planner, a_quiet_fleet_has_a_floor_in_cheap_halls_and_spot_in_all)
{
    const auto plan = plan_servers(make_limits(), 0.5, {}, {});
    EXPECT_EQ(plan.at(cheap), (scale_target{1, 1}));
    EXPECT_EQ(plan.at(middle), (scale_target{1, 1}));
    EXPECT_EQ(plan.at(dear), (scale_target{0, 1}));
}

TEST(scale_planner, more_demand_orders_more_of_both)
{
    const auto plan = plan_servers(make_limits(), 4, {}, {});
    EXPECT_GE(total_of(plan), 8);
    int on_demand = 0;
    for (const auto& [hall, target] : plan)
    {
        on_demand += target.on_demand;
    }
    EXPECT_GE(on_demand, 4);
}

TEST(scale_planner, keeps_to_the_most_of_each_hall)
{
    const auto plan = plan_servers(make_limits(), 100, {}, {});
    for (const auto& [hall, target] : plan)
    {
        EXPECT_EQ(target.on_demand + target.spot, 6) << hall;
    }
}

TEST(scale_planner, keeps_to_the_least_of_each_hall_without_spot)
{
    auto limits = make_limits();
    limits.spot_price = 0;
    const auto plan = plan_servers(limits, 0.1, {}, {});
    EXPECT_EQ(plan.at(dear), (scale_target{1, 0}));
}

TEST(scale_planner, replaces_spot_that_is_not_to_be_had)
{
    const std::map<hall_id, int> none{{cheap, 0}, {middle, 0}, {dear, 0}};
    const auto plan = plan_servers(make_limits(), 4, none, {});
    int on_demand = 0;
    for (const auto& [hall, target] : plan)
    {
        EXPECT_EQ(target.spot, 0) << hall;
        on_demand += target.on_demand;
    }
    EXPECT_GE(on_demand, 5);
}

TEST(work_estimate, shared_parts_count_less_than_the_requests_own)
{
    request_facts facts;
    facts.prompt = {{"shared", 6400}, {"own", 3200}};
    EXPECT_DOUBLE_EQ(estimated_work_ms(facts, 3200), 100);
    EXPECT_DOUBLE_EQ(estimated_work_ms(facts, 9600), 160);
}

TEST(demand_meter, follows_the_work_of_all_machines_over_their_starts)
{
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, double> work{{host_id("1"), 0}, {host_id("2"), 0}};
    for (int second = 0; second < 40; ++second)
    {
        const auto now = absl::UnixEpoch() + absl::Seconds(second);
        work[host_id("1")] += 1500;
        // This one starts again every tenth second.
        work[host_id("2")] = second % 10 == 0 ? 500 : work[host_id("2")] + 500;
        meter.note(work, now);
    }
    EXPECT_NEAR(meter.busy(), 2.0, 0.2);
}

TEST(initial_fleet, a_list_that_is_still_filling_has_not_settled)
{
    initial_fleet fleet(absl::Seconds(2.5));
    auto now = absl::UnixEpoch();
    for (int present = 1; present <= 60; ++present)
    {
        fleet.note(present, now);
        EXPECT_FALSE(fleet.has_settled(now));
        now += absl::Milliseconds(40);
    }
    now += absl::Seconds(2.5);
    EXPECT_TRUE(fleet.has_settled(now));
    EXPECT_EQ(fleet.servers(), 60);
}

TEST(initial_fleet, orders_do_not_change_what_has_settled)
{
    initial_fleet fleet(absl::Seconds(2.5));
    auto now = absl::UnixEpoch();
    fleet.note(9, now);
    now += absl::Seconds(3);
    fleet.note(3, now);
    fleet.note(14, now);
    EXPECT_EQ(fleet.servers(), 9);
}

TEST(initial_fleet, an_empty_list_never_settles)
{
    initial_fleet fleet(absl::Seconds(2.5));
    fleet.note(0, absl::UnixEpoch());
    EXPECT_FALSE(fleet.has_settled(absl::UnixEpoch() + absl::Hours(1)));
}

} // namespace
} // namespace daleshelf
