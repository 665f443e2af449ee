#include "simulated_host.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <duties/usage_counter.hpp>
#include <memory>

namespace daleshelf
{
namespace
{

const workspace_id studio("studio");

TEST(duty_ledger, the_first_start_grants_the_lease_at_once)
{
    shared_log log;
    simulated_host one(log, "1");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    EXPECT_EQ(one.ledger.token(at(1.3)), 0);
}

TEST(duty_ledger, another_host_waits_until_the_lease_has_expired)
{
    shared_log log;
    simulated_host one(log, "1");
    simulated_host two(log, "2");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    for (double now = 2; now < 5.9; now += 0.2)
    {
        two.tick(at(now), false);
        EXPECT_FALSE(two.ledger.token(at(now)));
    }
    for (double now = 6; now < 7; now += 0.2)
    {
        two.tick(at(now), false);
    }
    ASSERT_TRUE(two.ledger.token(at(7)));
    EXPECT_GT(*two.ledger.token(at(7)), 0);
    EXPECT_FALSE(one.ledger.token(at(7)));
}

TEST(duty_ledger, a_host_that_is_no_candidate_reads_once_and_waits)
{
    shared_log log;
    simulated_host one(log, "1");
    simulated_host two(log, "2");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    two.ledger.set_candidate(false);
    two.tick(at(2), false);
    for (double now = 3; now < 20; now += 0.2)
    {
        const auto action = two.ledger.next_action(false, at(now));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(action));
    }
    // Once it is a candidate, it acquires the lease that has expired.
    two.ledger.set_candidate(true);
    for (double now = 20; now < 22; now += 0.2)
    {
        two.tick(at(now), false);
    }
    EXPECT_TRUE(two.ledger.token(at(22)));
}

TEST(duty_ledger, a_holder_that_is_no_candidate_any_more_keeps_its_lease)
{
    shared_log log;
    simulated_host one(log, "1");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    one.ledger.set_candidate(false);
    for (double now = 1.4; now < 10; now += 0.2)
    {
        one.tick(at(now), false);
        EXPECT_TRUE(one.ledger.token(at(now)));
    }
}

// Hosts of an earlier or a later version append records of unknown kinds. These
// must not count as a sign of the holder.
TEST(duty_ledger, ignores_a_record_of_another_version)
{
    shared_log log;
    simulated_host one(log, "1");
    simulated_host two(log, "2");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    two.tick(at(1.3), false);
    log.records.push_back(
        R"({"kind":"note","holder":"1","started":1,"note":"used"})");
    // The last lease record that host 2 read is the one of 1.3 s.
    for (double now = 3; now < 6; now += 0.2)
    {
        two.tick(at(now), false);
    }
    EXPECT_TRUE(two.ledger.token(at(6)));
}

TEST(duty_ledger, a_window_is_settled_once)
{
    shared_log log;
    simulated_host one(log, "1");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    const auto first = one.ledger.settle(7, {{studio, 3}}, at(1.3));
    ASSERT_TRUE(first);
    one.perform(*first, at(1.3), true);
    // The response was lost: nothing is settled before the log is read again.
    EXPECT_FALSE(one.ledger.settle(7, {{studio, 4}}, at(1.4)));
    one.tick(at(2), false);
    EXPECT_FALSE(one.ledger.settle(7, {{studio, 4}}, at(2)));
    EXPECT_EQ(one.ledger.settled().at(7).at(studio), 3);
}

TEST(duty_ledger, continues_after_records_were_dropped)
{
    duty_ledger ledger(host_id("1"), incarnation(1), duty_options());
    ledger.on_records(log_offset(0), log_offset(50), log_offset(50), {}, 0,
                      at(1));
    const auto action = ledger.next_action(false, at(9));
    const auto* append = std::get_if<ledger_append>(&action);
    ASSERT_NE(append, nullptr);
    EXPECT_EQ(append->expected_end, log_offset(50));
}

// Guards against settling a window twice. If the log drops records before a
// host has read that a window was settled, and this host then acquires the
// lease, it must not settle the window again: the platform would get two
// reports that differ, such as 93 and 54 requests, then 96 and 55.
TEST(duty_ledger, settles_nothing_that_dropped_records_may_have_settled)
{
    shared_log log;
    simulated_host one(log, "1");
    simulated_host two(log, "2");
    one.tick(at(1), false);
    one.tick(at(1.2), false);
    two.tick(at(1.3), false);
    const auto settled = one.ledger.settle(7, {{studio, 93}}, at(1.4));
    ASSERT_TRUE(settled);
    one.perform(*settled, at(1.4), false);
    log.trim();
    two.running_window = 9;
    for (double now = 2; now < 9; now += 0.2)
    {
        two.tick(at(now), false);
    }
    ASSERT_TRUE(two.ledger.token(at(9)));
    EXPECT_FALSE(two.ledger.settle(7, {{studio, 96}}, at(9)));
    EXPECT_FALSE(two.ledger.can_settle(8));
    EXPECT_TRUE(two.ledger.settle(9, {{studio, 5}}, at(9)));
    // A host that has read every record can still settle windows.
    EXPECT_FALSE(one.ledger.can_settle(7));
    EXPECT_TRUE(one.ledger.can_settle(8));
}

// Hosts tick at random, pause and lose responses: at no time do two of them
// hold the lease, and no two grants have the same token.
RC_GTEST_PROP(duty_ledger, never_has_two_holders, ())
{
    shared_log log;
    std::vector<std::unique_ptr<simulated_host>> hosts;
    for (const auto* name : {"1", "2", "3"})
    {
        hosts.push_back(std::make_unique<simulated_host>(log, name));
    }
    double now = 0;
    std::int64_t newest_token = -1;
    for (int step = 0; step < 600; ++step)
    {
        now += *rc::gen::inRange(0, 300) / 1000.0;
        auto& one = *hosts[*rc::gen::inRange<std::size_t>(0, 3)];
        one.tick(at(now), *rc::gen::inRange(0, 4) == 0,
                 *rc::gen::inRange(0, 5) == 0);
        int holders = 0;
        for (const auto& each : hosts)
        {
            const auto token = each->ledger.token(at(now));
            if (token)
            {
                ++holders;
                RC_ASSERT(*token >= newest_token);
                newest_token = *token;
            }
        }
        RC_ASSERT(holders <= 1);
    }
}

TEST(usage_counter, counts_by_windows_of_wall_clock_time)
{
    usage_counter counter(absl::Seconds(5));
    counter.count(studio, at(4.9));
    counter.count(studio, at(5.0));
    counter.count(studio, at(9.9));
    EXPECT_EQ(counter.counts().at(0).at(studio), 1);
    EXPECT_EQ(counter.counts().at(1).at(studio), 2);
    EXPECT_EQ(counter.window_end(1), at(10));
}

} // namespace
} // namespace daleshelf
