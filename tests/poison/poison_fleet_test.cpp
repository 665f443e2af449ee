#include "poison_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <poison/poison_watch.hpp>
#include <random>

namespace daleshelf
{
namespace
{

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

// Three ends, beyond those at which it lay when the third came, or was sent
// before all had heard.
void expect_bounded(const fleet_result& result)
{
    EXPECT_EQ(result.late_tries, 0);
    EXPECT_EQ(result.sent_after_proof, 0);
}

void expect_few_end(int hosts, int servers,
                    waiting_policy waiting = waiting_policy::hold)
{
    int innocent = 0;
    int refused = 0;
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
        const auto result = fleet(plan, seed).play();
        expect_bounded(result);
        innocent += result.innocent;
        refused += result.refused_innocent;
    }
    EXPECT_LE(refused, innocent / 10000) << "of " << innocent;
}

TEST(poison_fleet, few_servers_end_at_8_hosts)
{
    expect_few_end(8, 9);
}

TEST(poison_fleet, few_servers_end_at_86_hosts)
{
    expect_few_end(86, 90);
}

TEST(poison_fleet, few_servers_end_at_300_hosts)
{
    expect_few_end(300, 160);
}

TEST(poison_fleet, few_servers_end_at_580_hosts)
{
    expect_few_end(580, 300);
}

// The same fleets with hosts that reject what has to wait: a rejection costs
// the caller a back-off, so that no wait can hide one.
TEST(poison_fleet_rejecting, few_servers_end_at_8_hosts)
{
    expect_few_end(8, 9, waiting_policy::reject);
}

TEST(poison_fleet_rejecting, few_servers_end_at_86_hosts)
{
    expect_few_end(86, 90, waiting_policy::reject);
}

TEST(poison_fleet_rejecting, few_servers_end_at_300_hosts)
{
    expect_few_end(300, 160, waiting_policy::reject);
}

TEST(poison_fleet_rejecting, few_servers_end_at_580_hosts)
{
    expect_few_end(580, 300, waiting_policy::reject);
}

TEST(poison_fleet_storms, whoever_was_at_the_ends_of_many_is_not_blamed)
{
    int innocent = 0;
    int refused = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        fleet_plan plan;
        plan.deadly = 0;
        plan.storms = {4, 6.5};
        plan.restarts = {5};
        plan.seconds = 10;
        const auto result = fleet(plan, seed).play();
        innocent += result.innocent;
        refused += result.refused_innocent;
    }
    EXPECT_LE(refused, innocent / 10000) << "of " << innocent;
}

TEST(poison_fleet_restarts, what_is_proved_outlives_the_hosts)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed)
    {
        fleet_plan plan;
        plan.restarts = {6, 8, 10, 12, 14};
        plan.seconds = 20;
        expect_bounded(fleet(plan, seed).play());
    }
}

// Of 1,500 such plays 35 sent a deadly one again after its third end: mostly
// two at a time on four to six servers, which are beside one another all the
// time.
TEST(poison_fleet_found, two_at_a_time_on_few_servers_end_no_more_either)
{
    for (const std::uint32_t seed : {501, 575, 624, 1152})
    {
        const auto result = fleet(drawn_plan(seed), seed).play();
        EXPECT_EQ(result.late_tries, 0) << seed;
        EXPECT_LE(result.refused_innocent, result.innocent / 10000) << seed;
    }
}

void expect_few_end_in_drawn_fleets(waiting_policy waiting)
{
    int innocent = 0;
    int refused = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        auto plan = drawn_plan(seed);
        plan.waiting = waiting;
        const auto result = fleet(plan, seed).play();
        EXPECT_EQ(result.late_tries, 0) << seed;
        innocent += result.innocent;
        refused += result.refused_innocent;
    }
    EXPECT_LE(refused, innocent / 10000) << "of " << innocent;
}

TEST(poison_fleet_drawn, few_servers_end_in_drawn_fleets)
{
    expect_few_end_in_drawn_fleets(waiting_policy::hold);
}

TEST(poison_fleet_drawn_rejecting, few_servers_end_in_drawn_fleets)
{
    expect_few_end_in_drawn_fleets(waiting_policy::reject);
}

RC_GTEST_PROP(poison_watch_merge, words_in_any_order_give_the_same, ())
{
    std::vector<poison_record> words;
    const auto count = *rc::gen::inRange(1, 12);
    for (int word = 0; word < count; ++word)
    {
        poison_record record;
        record.print = request_print("a");
        record.epoch = *rc::gen::inRange(0, 3);
        const auto life = *rc::gen::inRange(0, 5);
        const server_life server{upstream_id("s" + std::to_string(life)), {}};
        if (*rc::gen::arbitrary<bool>())
        {
            record.ends[server] = {at(life), absl::Seconds(1)};
        }
        else
        {
            record.whole.insert({server, host_id("h")});
        }
        record.is_proved = *rc::gen::inRange(0, 4) == 0;
        record.trial = {*rc::gen::inRange<std::int64_t>(0, 3),
                        host_id("h" + std::to_string(life)), at(9)};
        words.push_back(record);
    }
    auto shuffled = words;
    std::shuffle(shuffled.begin(), shuffled.end(),
                 std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
    shuffled.insert(shuffled.end(), words.begin(), words.end());
    poison_watch first{poison_options()};
    poison_watch second{poison_options()};
    for (const auto& word : words)
    {
        first.merge(word, at(10));
    }
    for (const auto& word : shuffled)
    {
        second.merge(word, at(10));
    }
    const auto& one = *first.find(request_print("a"));
    const auto& other = *second.find(request_print("a"));
    RC_ASSERT(one.epoch == other.epoch);
    RC_ASSERT(one.whole == other.whole);
    RC_ASSERT(one.is_proved == other.is_proved);
    RC_ASSERT(one.ends.size() == other.ends.size());
    RC_ASSERT(one.trial.number == other.trial.number);
    RC_ASSERT(one.trial.host == other.trial.host);
}

} // namespace
} // namespace daleshelf
