#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <scaling/capacity.hpp>
#include <scaling/demand_meter.hpp>
#include <scaling/first_order.hpp>
#include <scaling/initial_fleet.hpp>
#include <scaling/removal_budget.hpp>
#include <scaling/scale_planner.hpp>

namespace daleshelf
{
namespace
{

const hall_id cheap("cheap");
const hall_id middle("middle");
const hall_id expensive("dear");

scaling_limits make_limits()
{
    scaling_limits limits;
    limits.is_scalable = true;
    limits.min_servers = 1;
    limits.max_servers = 6;
    limits.spot_price = 0.22;
    limits.hall_prices = {{cheap, 0.85}, {middle, 1.0}, {expensive, 1.2}};
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

int on_demand_of(const scale_plan& plan)
{
    int total = 0;
    for (const auto& [hall, target] : plan)
    {
        total += target.on_demand;
    }
    return total;
}

// @return upstreams that remain after the loss of the spot upstreams in the
// hall that has most of them
int remaining_without_fullest_hall(const scale_plan& plan)
{
    int fullest = 0;
    for (const auto& [hall, target] : plan)
    {
        fullest = std::max(fullest, target.spot);
    }
    return total_of(plan) - fullest;
}

TEST(scale_planner, low_load_gets_the_on_demand_minimum_and_spot_in_all_halls)
{
    const auto plan = plan_servers(make_limits(), {1, 1}, {}, {});
    EXPECT_EQ(plan.at(cheap), (scale_target{1, 1}));
    EXPECT_EQ(plan.at(middle), (scale_target{1, 1}));
    EXPECT_EQ(plan.at(expensive), (scale_target{0, 1}));
}

RC_GTEST_PROP(scale_planner, provides_the_minimum_after_the_loss_of_any_hall,
              ())
{
    auto limits = make_limits();
    limits.max_servers = 1000;
    limits.spot_price = *rc::gen::inRange(5, 95) / 100.0;
    server_need need;
    need.minimum = *rc::gen::inRange(1, 200);
    need.preferred = need.minimum + *rc::gen::inRange(0, 200);
    const auto plan = plan_servers(limits, need, {}, {});
    RC_ASSERT(total_of(plan) >= need.preferred);
    RC_ASSERT(remaining_without_fullest_hall(plan) >= need.minimum);
}

RC_GTEST_PROP(scale_planner, never_costs_more_than_on_demand_alone, ())
{
    auto limits = make_limits();
    limits.max_servers = 1000;
    limits.hall_prices = {{cheap, 1}, {middle, 1}, {expensive, 1}};
    limits.spot_price = *rc::gen::inRange(5, 95) / 100.0;
    server_need need;
    need.minimum = *rc::gen::inRange(2, 200);
    need.preferred = need.minimum + *rc::gen::inRange(0, 200);
    const auto plan = plan_servers(limits, need, {}, {});
    const auto on_demand = on_demand_of(plan);
    const auto spot = total_of(plan) - on_demand;
    // Each hall gets one spot upstream at any price.
    RC_ASSERT(on_demand + spot * limits.spot_price <=
              need.preferred + 3 * limits.spot_price + 1e-9);
}

TEST(scale_planner, expensive_spot_servers_are_not_ordered_as_spares)
{
    auto limits = make_limits();
    limits.spot_price = 0.9;
    // Spot upstreams that survive the loss of one of three halls cost
    // 1.5 * 0.9 per needed upstream, more than on-demand ones.
    const auto plan = plan_servers(limits, {8, 8}, {}, {});
    EXPECT_GE(on_demand_of(plan), 5);
}

TEST(scale_planner, respects_the_maximum_of_each_hall)
{
    const auto plan = plan_servers(make_limits(), {100, 100}, {}, {});
    for (const auto& [hall, target] : plan)
    {
        EXPECT_EQ(target.on_demand + target.spot, 6) << hall;
    }
}

TEST(scale_planner, provides_the_minimum_of_each_hall_without_spot)
{
    auto limits = make_limits();
    limits.spot_price = 0;
    const auto plan = plan_servers(limits, {1, 1}, {}, {});
    EXPECT_EQ(plan.at(expensive), (scale_target{1, 0}));
}

TEST(scale_planner, replaces_unavailable_spot_servers)
{
    const std::map<hall_id, int> none{{cheap, 0}, {middle, 0}, {expensive, 0}};
    const auto plan = plan_servers(make_limits(), {10, 5}, none, {});
    for (const auto& [hall, target] : plan)
    {
        EXPECT_EQ(target.spot, 0) << hall;
    }
    EXPECT_GE(on_demand_of(plan), 5);
}

TEST(scale_planner, without_spot_orders_between_minimum_and_preferred)
{
    const std::map<hall_id, int> none{{cheap, 0}, {middle, 0}, {expensive, 0}};
    scale_options options;
    for (const auto& [part, expected] :
         {std::pair(0.0, 5), std::pair(0.5, 8), std::pair(1.0, 11)})
    {
        options.dry_part = part;
        EXPECT_EQ(total_of(plan_servers(make_limits(), {11, 5}, none, options)),
                  expected);
    }
}

TEST(scale_planner, other_halls_replace_one_without_spot)
{
    const auto plan = plan_servers(make_limits(), {9, 4}, {{expensive, 1}}, {});
    EXPECT_EQ(plan.at(expensive).spot, 1);
    EXPECT_GE(total_of(plan), 9);
}

engine_estimate fast_engine()
{
    engine_estimate engine;
    engine.first_ms = 30;
    engine.read_ms_per_token = 0.01;
    engine.generation_ms_per_token = 5;
    return engine;
}

// @param prompts prompts per second, all of the same length
service_work load_of(double prompts, double tokens, double allowed)
{
    return {prompts, prompts * tokens, prompts * tokens * tokens,
            prompts * allowed};
}

TEST(capacity, slots_are_the_bottleneck_when_prompts_are_short)
{
    capacity_options options;
    options.slots = 10;
    options.server_limit = 100;
    // 50 concurrent responses of 1 s fill the slots of five upstreams.
    const auto need = servers_needed(load_of(50, 10, 200), fast_engine(),
                                     {{10, 1000}}, options);
    EXPECT_EQ(need.minimum, 6);
}

TEST(capacity, a_tight_objective_asks_for_more_servers)
{
    capacity_options options;
    options.slots = 100;
    options.server_limit = 200;
    const auto load = load_of(100, 4000, 10);
    const auto loose =
        servers_needed(load, fast_engine(), {{4000, 2000}}, options);
    const auto tight =
        servers_needed(load, fast_engine(), {{4000, 150}}, options);
    EXPECT_EQ(loose.minimum, tight.minimum);
    EXPECT_GT(tight.preferred, loose.preferred);
}

TEST(capacity, infeasible_objectives_need_no_more_servers)
{
    capacity_options options;
    options.slots = 100;
    options.server_limit = 200;
    const auto need = servers_needed(load_of(100, 4000, 10), fast_engine(),
                                     {{4000, 60}}, options);
    EXPECT_EQ(need.preferred, need.minimum);
}

TEST(capacity, a_gap_objective_reduces_usable_slots)
{
    auto engine = fast_engine();
    engine.gap_ms = 20;
    engine.gap_ms_per_generation = 2;
    capacity_options options;
    options.slots = 64;
    options.server_limit = 100;
    const auto load = load_of(50, 10, 200);
    const auto free = servers_needed(load, engine, {}, options);
    options.gap_objective_ms = 50;
    const auto bound = servers_needed(load, engine, {}, options);
    EXPECT_GT(bound.minimum, 2 * free.minimum);
}

TEST(capacity, infeasible_gap_objectives_need_no_more_servers)
{
    auto engine = fast_engine();
    engine.gap_ms = 60;
    engine.gap_ms_per_generation = 2;
    capacity_options options;
    options.slots = 64;
    options.server_limit = 100;
    const auto load = load_of(50, 10, 200);
    const auto free = servers_needed(load, engine, {}, options);
    options.gap_objective_ms = 50;
    EXPECT_EQ(servers_needed(load, engine, {}, options).minimum, free.minimum);
}

RC_GTEST_PROP(capacity, faster_engines_never_need_more_servers, ())
{
    capacity_options options;
    options.slots = *rc::gen::inRange(4, 128);
    options.server_limit = 500;
    const auto load =
        load_of(*rc::gen::inRange(1, 300), *rc::gen::inRange(10, 9000),
                *rc::gen::inRange(1, 500));
    const std::vector<prompt_sample> samples{
        {1000, *rc::gen::inRange(50, 2000) * 1.0}};
    auto slow = fast_engine();
    slow.read_ms_per_token = *rc::gen::inRange(2, 100) / 1000.0;
    auto fast = slow;
    fast.generation_ms_per_token /= 2;
    RC_ASSERT(servers_needed(load, fast, samples, options).minimum <=
              servers_needed(load, slow, samples, options).minimum);
}

// @return reports of the work that hosts have sent, received at `now`
std::map<host_id, reported_work>
reports_at(const std::map<host_id, service_work>& work, absl::Time now)
{
    std::map<host_id, reported_work> reports;
    for (const auto& [host, sent] : work)
    {
        reports[host] = {sent, now};
    }
    return reports;
}

// Upstreams take seconds to start, so a rising rate takes effect sooner than a
// falling one.
TEST(demand_meter, follows_a_rise_within_three_seconds)
{
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, service_work> work{{host_id("1"), {}}};
    for (int second = 0; second <= 23; ++second)
    {
        const double rate = second <= 20 ? 100 : 200;
        work[host_id("1")] += {rate, rate, rate, rate};
        const auto now = absl::UnixEpoch() + absl::Seconds(second);
        meter.update(reports_at(work, now), now);
    }
    EXPECT_GT(meter.peak().prompts, 180);
}

// Each of 295 hosts reports every 9.3 s, and many reports arrive together. A
// meter that counts all work reported within a second as that second's load
// orders 320 engines at low load.
TEST(demand_meter, infrequent_reports_are_not_a_peak)
{
    constexpr int hosts = 295;
    constexpr double interval_seconds = 9.3;
    constexpr double prompts_per_second = 1.4;
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, reported_work> reports;
    double highest_peak = 0;
    for (int tick = 0; tick < 120; ++tick)
    {
        const auto seconds = tick * 0.5;
        const auto now = absl::UnixEpoch() + absl::Seconds(seconds);
        const auto interval = static_cast<int>(seconds / interval_seconds);
        for (int number = 0; number < hosts; ++number)
        {
            // All reports arrive within a quarter of each interval.
            const auto received_after =
                interval_seconds * (interval + number / (4.0 * hosts));
            if (received_after <= seconds)
            {
                const auto prompts = prompts_per_second * received_after;
                reports[host_id(std::to_string(number))] = {
                    {prompts, prompts, prompts, prompts},
                    absl::UnixEpoch() + absl::Seconds(received_after)};
            }
        }
        meter.update(reports, now);
        highest_peak = std::max(highest_peak, meter.peak().prompts);
    }
    EXPECT_NEAR(meter.peak().prompts, hosts * prompts_per_second, 40);
    EXPECT_LT(highest_peak, hosts * prompts_per_second * 1.1);
}

// The last rate of a departed host must expire.
TEST(demand_meter, expires_the_rate_of_a_host_that_stops_reporting)
{
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, reported_work> reports;
    for (int second = 0; second < 60; ++second)
    {
        const auto now = absl::UnixEpoch() + absl::Seconds(second);
        if (second <= 18 && second % 9 == 0)
        {
            const double prompts = 10.0 * second;
            reports[host_id("1")] = {{prompts, 0, 0, 0}, now};
        }
        meter.update(reports, now);
        if (second == 30)
        {
            EXPECT_NEAR(meter.peak().prompts, 10, 1);
        }
    }
    EXPECT_LT(meter.peak().prompts, 1);
}

TEST(demand_meter, follows_the_work_of_all_hosts_over_their_starts)
{
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, service_work> work{{host_id("1"), {}},
                                         {host_id("2"), {}}};
    for (int second = 0; second < 40; ++second)
    {
        const auto now = absl::UnixEpoch() + absl::Seconds(second);
        work[host_id("1")] += {15, 1500, 0, 0};
        // This host restarts every ten seconds.
        const service_work step{5, 500, 0, 0};
        work[host_id("2")] =
            second % 10 == 0 ? step : service_work(work[host_id("2")]) += step;
        meter.update(reports_at(work, now), now);
    }
    EXPECT_NEAR(meter.peak().read_tokens, 2000, 200);
    EXPECT_NEAR(meter.peak().prompts, 20, 2);
}

// Guards against a new lease holder that removes upstreams before it knows of
// the lack of spot capacity: after a partition it removed five on-demand
// upstreams and ordered them again 0.5 s later, and they took 4 s to start.
TEST(first_order, servers_that_start_slowly_count_as_lost_later)
{
    EXPECT_EQ(loss_timeout(absl::Seconds(4)), absl::Seconds(7));
    EXPECT_GT(loss_timeout(absl::Seconds(9)), absl::Seconds(9 + 1.2 + 0.8));
}

TEST(first_order, a_new_holder_orders_more_at_once_and_fewer_later)
{
    EXPECT_EQ(assumed_order_count(3, 5), unknown_order_count);
    EXPECT_EQ(assumed_order_count(3, 3), unknown_order_count);
    EXPECT_EQ(assumed_order_count(5, 0), 5);
}

TEST(initial_fleet, a_list_that_is_still_filling_has_not_settled)
{
    initial_fleet fleet(absl::Seconds(2.5));
    auto now = absl::UnixEpoch();
    for (int present = 1; present <= 60; ++present)
    {
        fleet.update(present, now);
        EXPECT_FALSE(fleet.has_settled(now));
        now += absl::Milliseconds(40);
    }
    now += absl::Seconds(2.5);
    EXPECT_TRUE(fleet.has_settled(now));
    EXPECT_EQ(fleet.server_count(), 60);
}

TEST(initial_fleet, orders_do_not_change_what_has_settled)
{
    initial_fleet fleet(absl::Seconds(2.5));
    auto now = absl::UnixEpoch();
    fleet.update(9, now);
    now += absl::Seconds(3);
    fleet.update(3, now);
    fleet.update(14, now);
    EXPECT_EQ(fleet.server_count(), 9);
}

TEST(initial_fleet, an_empty_list_never_settles)
{
    initial_fleet fleet(absl::Seconds(2.5));
    fleet.update(0, absl::UnixEpoch());
    EXPECT_FALSE(fleet.has_settled(absl::UnixEpoch() + absl::Hours(1)));
}

// The load has fallen and spot capacity has returned: 110 on-demand upstreams
// are to be replaced by 118 spot upstreams that are only ordered so far.
TEST(removal_budget, servers_stay_until_others_have_come)
{
    removal_budget before(110, 110);
    EXPECT_EQ(before.reduce_towards(37, 1), 37);
    EXPECT_EQ(before.reduce_towards(37, 0), 37);
    removal_budget halfway(110 + 40, 110);
    EXPECT_EQ(halfway.reduce_towards(37, 1), 1);
    EXPECT_EQ(halfway.reduce_towards(37, 1), 33);
    EXPECT_EQ(halfway.reduce_towards(36, 0), 36);
}

TEST(removal_budget, surplus_servers_are_removed_at_once)
{
    removal_budget fallen(110, 30);
    EXPECT_EQ(fallen.reduce_towards(37, 1), 1);
    EXPECT_EQ(fallen.reduce_towards(37, 1), 1);
    EXPECT_EQ(fallen.reduce_towards(36, 0), 28);
}

TEST(removal_budget, a_plan_above_the_present_number_is_unchanged)
{
    removal_budget short_of(20, 30);
    EXPECT_EQ(short_of.reduce_towards(5, 12), 12);
}

TEST(capacity, rate_limited_servers_are_compensated)
{
    service_work load;
    load.prompts = 20;
    EXPECT_EQ(limit_shortfall(load, 4, {}), 0);
    EXPECT_EQ(limit_shortfall(load, 4, {0.5}), 1);
    EXPECT_EQ(limit_shortfall(load, 4, {1, 2, 2}), 2);
    EXPECT_EQ(limit_shortfall(load, 4, {50}), 0)
        << "the limit exceeds the even share";
    EXPECT_EQ(limit_shortfall({}, 4, {0.5}), 0) << "there is no load";
}

} // namespace
} // namespace daleshelf
