#include "poison_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <poison/poison_detector.hpp>
#include <random>

namespace daleshelf
{
namespace
{

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

// A deadly request crashes three servers, plus those that ran it at the third
// crash or received it before gossip of that crash reached all hosts.
void expect_bounded(const fleet_result& result)
{
    EXPECT_EQ(result.late_attempts, 0);
    EXPECT_EQ(result.sent_after_confirmation, 0);
}

void expect_few_crashes(int hosts, int servers,
                        waiting_policy waiting = waiting_policy::hold)
{
    int innocent = 0;
    int rejected = 0;
    for (std::uint32_t seed = 1; seed <= 8; ++seed)
    {
        fleet_plan plan;
        plan.waiting = waiting;
        plan.hosts = hosts;
        plan.servers = servers;
        plan.requests_per_s = 7.0 * plan.servers;
        plan.contents = 40 * plan.servers;
        plan.deadly = 2;
        plan.seconds = 12;
        const auto result = fleet(plan, seed).simulate();
        expect_bounded(result);
        innocent += result.innocent;
        rejected += result.rejected_innocent;
    }
    EXPECT_LE(rejected, innocent / 10000) << "of " << innocent;
}

TEST(poison_fleet, few_servers_end_at_8_hosts)
{
    expect_few_crashes(8, 9);
}

TEST(poison_fleet, few_servers_end_at_86_hosts)
{
    expect_few_crashes(86, 90);
}

TEST(poison_fleet, few_servers_end_at_300_hosts)
{
    expect_few_crashes(300, 160);
}

TEST(poison_fleet, few_servers_end_at_580_hosts)
{
    expect_few_crashes(580, 300);
}

// The same fleets with hosts that reject a request instead of holding it: a
// rejection costs the caller a back-off, and holding could hide rejections.
TEST(poison_fleet_rejecting, few_servers_end_at_8_hosts)
{
    expect_few_crashes(8, 9, waiting_policy::reject);
}

TEST(poison_fleet_rejecting, few_servers_end_at_86_hosts)
{
    expect_few_crashes(86, 90, waiting_policy::reject);
}

TEST(poison_fleet_rejecting, few_servers_end_at_300_hosts)
{
    expect_few_crashes(300, 160, waiting_policy::reject);
}

TEST(poison_fleet_rejecting, few_servers_end_at_580_hosts)
{
    expect_few_crashes(580, 300, waiting_policy::reject);
}

TEST(poison_fleet_storms, bystanders_of_mass_crashes_are_not_rejected)
{
    int innocent = 0;
    int rejected = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        fleet_plan plan;
        plan.deadly = 0;
        plan.mass_crashes = {4, 6.5};
        plan.restarts = {5};
        plan.seconds = 10;
        const auto result = fleet(plan, seed).simulate();
        innocent += result.innocent;
        rejected += result.rejected_innocent;
    }
    EXPECT_LE(rejected, innocent / 10000) << "of " << innocent;
}

TEST(poison_fleet_restarts, confirmed_requests_survive_host_restarts)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed)
    {
        fleet_plan plan;
        plan.restarts = {6, 8, 10, 12, 14};
        plan.seconds = 20;
        expect_bounded(fleet(plan, seed).simulate());
    }
}

// Guards against attempts of a deadly request after its third crash, which 35
// of 1,500 drawn fleets had: mostly with two deadly requests on four to six
// servers, where they share most crashes.
TEST(poison_fleet_found, two_poison_requests_on_few_servers_keep_the_bound)
{
    for (const std::uint32_t seed : {501, 575, 624, 1152})
    {
        const auto result = fleet(drawn_plan(seed), seed).simulate();
        EXPECT_EQ(result.late_attempts, 0) << seed;
        EXPECT_LE(result.rejected_innocent, result.innocent / 10000) << seed;
    }
}

void expect_few_crashes_in_drawn_fleets(waiting_policy waiting)
{
    int innocent = 0;
    int rejected = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        auto plan = drawn_plan(seed);
        plan.waiting = waiting;
        const auto result = fleet(plan, seed).simulate();
        EXPECT_EQ(result.late_attempts, 0) << seed;
        innocent += result.innocent;
        rejected += result.rejected_innocent;
    }
    EXPECT_LE(rejected, innocent / 10000) << "of " << innocent;
}

TEST(poison_fleet_drawn, few_servers_end_in_drawn_fleets)
{
    expect_few_crashes_in_drawn_fleets(waiting_policy::hold);
}

TEST(poison_fleet_drawn_rejecting, few_servers_end_in_drawn_fleets)
{
    expect_few_crashes_in_drawn_fleets(waiting_policy::reject);
}

RC_GTEST_PROP(poison_detector_merge, records_merge_in_any_order, ())
{
    std::vector<poison_record> records;
    const auto count = *rc::gen::inRange(1, 12);
    for (int item = 0; item < count; ++item)
    {
        poison_record record;
        record.fingerprint = request_fingerprint("a");
        record.epoch = *rc::gen::inRange(0, 3);
        const auto server = *rc::gen::inRange(0, 5);
        const server_incarnation incarnation{
            upstream_id("s" + std::to_string(server)), {}};
        if (*rc::gen::arbitrary<bool>())
        {
            record.crashes[incarnation] = {at(server), absl::Seconds(1)};
        }
        else
        {
            record.responses.insert({incarnation, host_id("h")});
        }
        record.is_confirmed = *rc::gen::inRange(0, 4) == 0;
        record.probe = {*rc::gen::inRange<std::int64_t>(0, 3),
                        host_id("h" + std::to_string(server)), at(9)};
        records.push_back(record);
    }
    auto shuffled = records;
    std::shuffle(shuffled.begin(), shuffled.end(),
                 std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
    shuffled.insert(shuffled.end(), records.begin(), records.end());
    poison_detector first{poison_options()};
    poison_detector second{poison_options()};
    for (const auto& received : records)
    {
        first.merge(received, at(10));
    }
    for (const auto& received : shuffled)
    {
        second.merge(received, at(10));
    }
    const auto& one = *first.find(request_fingerprint("a"));
    const auto& other = *second.find(request_fingerprint("a"));
    RC_ASSERT(one.epoch == other.epoch);
    RC_ASSERT(one.responses == other.responses);
    RC_ASSERT(one.is_confirmed == other.is_confirmed);
    RC_ASSERT(one.crashes.size() == other.crashes.size());
    RC_ASSERT(one.probe.number == other.probe.number);
    RC_ASSERT(one.probe.host == other.probe.host);
}

} // namespace
} // namespace daleshelf
