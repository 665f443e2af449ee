#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <scaling/capacity.hpp>
#include <scaling/demand_meter.hpp>
#include <scaling/first_order.hpp>
#include <scaling/initial_fleet.hpp>
#include <scaling/removal.hpp>
#include <scaling/scale_planner.hpp>

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
    limits.min_servers = 1;
    limits.max_servers = 6;
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

int on_demand_of(const scale_plan& plan)
{
    int total = 0;
    for (const auto& [hall, target] : plan)
    {
        total += target.on_demand;
    }
    return total;
}

// @return servers that are left when the spot servers of the fullest hall go
int left_without_fullest_hall(const scale_plan& plan)
{
    int fullest = 0;
    for (const auto& [hall, target] : plan)
    {
        fullest = std::max(fullest, target.spot);
    }
    return total_of(plan) - fullest;
}

TEST(scale_planner, a_quiet_fleet_has_a_floor_in_cheap_halls_and_spot_in_all)
{
    const auto plan = plan_servers(make_limits(), {1, 1}, {}, {});
    EXPECT_EQ(plan.at(cheap), (scale_target{1, 1}));
    EXPECT_EQ(plan.at(middle), (scale_target{1, 1}));
    EXPECT_EQ(plan.at(dear), (scale_target{0, 1}));
}

RC_GTEST_PROP(scale_planner, bears_the_loss_of_any_hall_at_the_least_need, ())
{
    auto limits = make_limits();
    limits.max_servers = 1000;
    limits.spot_price = *rc::gen::inRange(5, 95) / 100.0;
    server_need need;
    need.least = *rc::gen::inRange(1, 200);
    need.usual = need.least + *rc::gen::inRange(0, 200);
    const auto plan = plan_servers(limits, need, {}, {});
    RC_ASSERT(total_of(plan) >= need.usual);
    RC_ASSERT(left_without_fullest_hall(plan) >= need.least);
}

RC_GTEST_PROP(scale_planner, never_costs_more_than_on_demand_alone, ())
{
    auto limits = make_limits();
    limits.max_servers = 1000;
    limits.hall_prices = {{cheap, 1}, {middle, 1}, {dear, 1}};
    limits.spot_price = *rc::gen::inRange(5, 95) / 100.0;
    server_need need;
    need.least = *rc::gen::inRange(2, 200);
    need.usual = need.least + *rc::gen::inRange(0, 200);
    const auto plan = plan_servers(limits, need, {}, {});
    const auto on_demand = on_demand_of(plan);
    const auto spot = total_of(plan) - on_demand;
    // One spot server in each hall is there whatever it costs.
    RC_ASSERT(on_demand + spot * limits.spot_price <=
              need.usual + 3 * limits.spot_price + 1e-9);
}

TEST(scale_planner, dear_spot_servers_are_not_bought_to_bear_a_loss)
{
    auto limits = make_limits();
    limits.spot_price = 0.9;
    // Two of three halls' worth would be left: 1.5 * 0.9 each.
    const auto plan = plan_servers(limits, {8, 8}, {}, {});
    EXPECT_GE(on_demand_of(plan), 5);
}

TEST(scale_planner, keeps_to_the_most_of_each_hall)
{
    const auto plan = plan_servers(make_limits(), {100, 100}, {}, {});
    for (const auto& [hall, target] : plan)
    {
        EXPECT_EQ(target.on_demand + target.spot, 6) << hall;
    }
}

TEST(scale_planner, keeps_to_the_least_of_each_hall_without_spot)
{
    auto limits = make_limits();
    limits.spot_price = 0;
    const auto plan = plan_servers(limits, {1, 1}, {}, {});
    EXPECT_EQ(plan.at(dear), (scale_target{1, 0}));
}

TEST(scale_planner, replaces_spot_that_is_not_to_be_had)
{
    const std::map<hall_id, int> none{{cheap, 0}, {middle, 0}, {dear, 0}};
    const auto plan = plan_servers(make_limits(), {10, 5}, none, {});
    for (const auto& [hall, target] : plan)
    {
        EXPECT_EQ(target.spot, 0) << hall;
    }
    EXPECT_GE(on_demand_of(plan), 5);
}

TEST(scale_planner, without_spot_a_part_of_the_way_to_the_usual_is_bought)
{
    const std::map<hall_id, int> none{{cheap, 0}, {middle, 0}, {dear, 0}};
    scale_options options;
    for (const auto& [part, expected] :
         {std::pair(0.0, 5), std::pair(0.5, 8), std::pair(1.0, 11)})
    {
        options.dry_part = part;
        EXPECT_EQ(total_of(plan_servers(make_limits(), {11, 5}, none, options)),
                  expected);
    }
}

TEST(scale_planner, a_dry_hall_is_made_up_for_in_the_others)
{
    const auto plan = plan_servers(make_limits(), {9, 4}, {{dear, 1}}, {});
    EXPECT_EQ(plan.at(dear).spot, 1);
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

// So many prompts a second, all of one length.
service_work load_of(double prompts, double tokens, double allowed)
{
    return {prompts, prompts * tokens, prompts * tokens * tokens,
            prompts * allowed};
}

TEST(capacity, places_for_answers_bind_when_prompts_are_short)
{
    capacity_options options;
    options.slots = 10;
    options.most = 100;
    // 50 answers of 1 s at a time need five servers when all are full.
    const auto need = servers_needed(load_of(50, 10, 200), fast_engine(),
                                     {{10, 1000}}, options);
    EXPECT_EQ(need.least, 6);
}

TEST(capacity, a_tight_objective_asks_for_more_servers)
{
    capacity_options options;
    options.slots = 100;
    options.most = 200;
    const auto load = load_of(100, 4000, 10);
    const auto wide =
        servers_needed(load, fast_engine(), {{4000, 2000}}, options);
    const auto tight =
        servers_needed(load, fast_engine(), {{4000, 150}}, options);
    EXPECT_EQ(wide.least, tight.least);
    EXPECT_GT(tight.usual, wide.usual);
}

TEST(capacity, what_no_server_can_do_in_time_asks_for_no_more_of_them)
{
    capacity_options options;
    options.slots = 100;
    options.most = 200;
    const auto need = servers_needed(load_of(100, 4000, 10), fast_engine(),
                                     {{4000, 60}}, options);
    EXPECT_EQ(need.usual, need.least);
}

TEST(capacity, long_pauses_take_places_away)
{
    auto engine = fast_engine();
    engine.gap_ms = 20;
    engine.gap_ms_per_generation = 2;
    capacity_options options;
    options.slots = 64;
    options.most = 100;
    const auto load = load_of(50, 10, 200);
    const auto free = servers_needed(load, engine, {}, options);
    options.gap_objective_ms = 50;
    const auto bound = servers_needed(load, engine, {}, options);
    EXPECT_GT(bound.least, 2 * free.least);
}

TEST(capacity, pauses_that_no_number_of_servers_shortens_ask_for_no_more)
{
    auto engine = fast_engine();
    engine.gap_ms = 60;
    engine.gap_ms_per_generation = 2;
    capacity_options options;
    options.slots = 64;
    options.most = 100;
    const auto load = load_of(50, 10, 200);
    const auto free = servers_needed(load, engine, {}, options);
    options.gap_objective_ms = 50;
    EXPECT_EQ(servers_needed(load, engine, {}, options).least, free.least);
}

RC_GTEST_PROP(capacity, faster_engines_never_need_more_servers, ())
{
    capacity_options options;
    options.slots = *rc::gen::inRange(4, 128);
    options.most = 500;
    const auto load =
        load_of(*rc::gen::inRange(1, 300), *rc::gen::inRange(10, 9000),
                *rc::gen::inRange(1, 500));
    const std::vector<prompt_sample> samples{
        {1000, *rc::gen::inRange(50, 2000) * 1.0}};
    auto slow = fast_engine();
    slow.read_ms_per_token = *rc::gen::inRange(2, 100) / 1000.0;
    auto fast = slow;
    fast.generation_ms_per_token /= 2;
    RC_ASSERT(servers_needed(load, fast, samples, options).least <=
              servers_needed(load, slow, samples, options).least);
}

// @return what hosts have sent, told just now
std::map<host_id, told_work>
told_at(const std::map<host_id, service_work>& work, absl::Time now)
{
    std::map<host_id, told_work> told;
    for (const auto& [host, sent] : work)
    {
        told[host] = {sent, now};
    }
    return told;
}

// Servers take seconds to start: a rise counts sooner than a fall.
TEST(demand_meter, follows_a_rise_within_three_seconds)
{
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, service_work> work{{host_id("1"), {}}};
    for (int second = 0; second <= 23; ++second)
    {
        const double rate = second <= 20 ? 100 : 200;
        work[host_id("1")] += {rate, rate, rate, rate};
        const auto now = absl::UnixEpoch() + absl::Seconds(second);
        meter.note(told_at(work, now), now);
    }
    EXPECT_GT(meter.peak().prompts, 180);
}

// 295 hosts each tell every 9.3 s, and many of them are heard at once: by the
// work told within a second the fleet of a quiet day was given 320 engines.
TEST(demand_meter, takes_what_is_told_late_for_no_peak)
{
    constexpr int hosts = 295;
    constexpr double turn_seconds = 9.3;
    constexpr double prompts_a_second = 1.4;
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, told_work> told;
    double most = 0;
    for (int tick = 0; tick < 120; ++tick)
    {
        const auto seconds = tick * 0.5;
        const auto now = absl::UnixEpoch() + absl::Seconds(seconds);
        const auto turn = static_cast<int>(seconds / turn_seconds);
        for (int number = 0; number < hosts; ++number)
        {
            // All are heard within a quarter of each turn.
            const auto heard_after =
                turn_seconds * (turn + number / (4.0 * hosts));
            if (heard_after <= seconds)
            {
                const auto prompts = prompts_a_second * heard_after;
                told[host_id(std::to_string(number))] = {
                    {prompts, prompts, prompts, prompts},
                    absl::UnixEpoch() + absl::Seconds(heard_after)};
            }
        }
        meter.note(told, now);
        most = std::max(most, meter.peak().prompts);
    }
    EXPECT_NEAR(meter.peak().prompts, hosts * prompts_a_second, 40);
    EXPECT_LT(most, hosts * prompts_a_second * 1.1);
}

// A host that is gone does not count on.
TEST(demand_meter, forgets_the_rate_of_a_host_that_tells_no_more)
{
    demand_meter meter(absl::Seconds(8));
    std::map<host_id, told_work> told;
    for (int second = 0; second < 60; ++second)
    {
        const auto now = absl::UnixEpoch() + absl::Seconds(second);
        if (second <= 18 && second % 9 == 0)
        {
            const double prompts = 10.0 * second;
            told[host_id("1")] = {{prompts, 0, 0, 0}, now};
        }
        meter.note(told, now);
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
        // This one starts again every tenth second.
        const service_work step{5, 500, 0, 0};
        work[host_id("2")] =
            second % 10 == 0 ? step : service_work(work[host_id("2")]) += step;
        meter.note(told_at(work, now), now);
    }
    EXPECT_NEAR(meter.peak().read_tokens, 2000, 200);
    EXPECT_NEAR(meter.peak().prompts, 20, 2);
}

// After the holder of the duties was cut off, the next one took five on-demand
// servers away while no spot server was to be had, and ordered them again 0.5 s
// later; they took 4 s to start.
TEST(first_order, servers_that_start_slowly_count_as_lost_later)
{
    EXPECT_EQ(lost_after(absl::Seconds(4)), absl::Seconds(7));
    EXPECT_GT(lost_after(absl::Seconds(9)), absl::Seconds(9 + 1.2 + 0.8));
}

TEST(first_order, a_new_holder_orders_more_at_once_and_fewer_later)
{
    EXPECT_EQ(taken_as_ordered(3, 5), nothing_ordered);
    EXPECT_EQ(taken_as_ordered(3, 3), nothing_ordered);
    EXPECT_EQ(taken_as_ordered(5, 0), 5);
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

// The load has fallen and spot servers are to be had again: 110 servers on
// demand are to make room for 118 that have only been ordered.
TEST(removal, servers_stay_until_others_have_come)
{
    removal before(110, 110);
    EXPECT_EQ(before.leave(37, 1), 37);
    EXPECT_EQ(before.leave(37, 0), 37);
    removal halfway(110 + 40, 110);
    EXPECT_EQ(halfway.leave(37, 1), 1);
    EXPECT_EQ(halfway.leave(37, 1), 33);
    EXPECT_EQ(halfway.leave(36, 0), 36);
}

TEST(removal, what_is_beyond_the_need_goes_at_once)
{
    removal fallen(110, 30);
    EXPECT_EQ(fallen.leave(37, 1), 1);
    EXPECT_EQ(fallen.leave(37, 1), 1);
    EXPECT_EQ(fallen.leave(36, 0), 28);
}

TEST(removal, more_than_is_there_may_be_planned)
{
    removal short_of(20, 30);
    EXPECT_EQ(short_of.leave(5, 12), 12);
}

TEST(capacity, servers_that_are_limited_are_made_up_for)
{
    service_work load;
    load.prompts = 20;
    EXPECT_EQ(servers_lacking(load, 4, {}), 0);
    EXPECT_EQ(servers_lacking(load, 4, {0.5}), 1);
    EXPECT_EQ(servers_lacking(load, 4, {1, 2, 2}), 2);
    EXPECT_EQ(servers_lacking(load, 4, {50}), 0) << "more than its part";
    EXPECT_EQ(servers_lacking({}, 4, {0.5}), 0) << "nothing is asked for";
}

} // namespace
} // namespace daleshelf
