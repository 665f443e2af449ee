#include "log_machine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <random>

namespace daleshelf
{
namespace
{

// Two grant, one holds and both have read the log at 2 s.
struct two_machines
{
    two_machines()
    {
        one.tick(at(1), false);
        one.tick(at(1.2), false);
        two.tick(at(2), true);
    }

    released_lease lease_of_one() const
    {
        return {host_id("1"), incarnation(1), one.ledger.released_token()};
    }

    shared_log log;
    machine one{log, "1"};
    machine two{log, "2"};
};

TEST(lease_release, another_machine_takes_a_released_lease_at_once)
{
    two_machines both;
    both.one.ledger.release(at(2.1));
    EXPECT_FALSE(both.one.ledger.token(at(2.1)));
    both.two.ledger.on_released(both.lease_of_one());
    both.two.tick(at(2.3), false);
    EXPECT_TRUE(both.two.ledger.token(at(2.4)));
}

TEST(lease_release, the_one_that_released_it_leaves_it_to_others)
{
    two_machines both;
    both.one.ledger.release(at(2.1));
    for (double now = 2.2; now < 6; now += 0.2)
    {
        both.one.tick(at(now), false);
        EXPECT_FALSE(both.one.ledger.token(at(now)));
    }
    for (double now = 6.2; now < 12; now += 0.2)
    {
        both.one.tick(at(now), false);
    }
    EXPECT_TRUE(both.one.ledger.token(at(12))) << "nobody else wanted it";
}

TEST(lease_release, a_renewal_that_arrives_late_gives_nothing_back)
{
    two_machines both;
    const auto renewal = both.one.ledger.next_action(false, at(2.1));
    ASSERT_TRUE(std::holds_alternative<ledger_append>(renewal));
    both.one.ledger.release(at(2.2));
    both.one.perform(std::get<ledger_append>(renewal), at(2.1), false);
    EXPECT_FALSE(both.one.ledger.token(at(2.3)));
    both.two.ledger.on_released(both.lease_of_one());
    // Its grant fails at the end that it knew; it reads, and grants again.
    both.two.tick(at(2.4), false);
    both.two.tick(at(2.6), false);
    both.two.tick(at(2.8), false);
    EXPECT_TRUE(both.two.ledger.token(at(2.9)));
    EXPECT_FALSE(both.one.ledger.token(at(2.9)));
}

TEST(lease_release, a_release_of_an_earlier_token_says_nothing)
{
    two_machines both;
    both.two.ledger.on_released({host_id("1"), incarnation(1), 77});
    both.two.ledger.on_released({host_id("1"), incarnation(9), 0});
    both.two.tick(at(2.3), false);
    both.two.tick(at(2.5), false);
    EXPECT_FALSE(both.two.ledger.token(at(2.6)));
}

TEST(lease_release, is_due_once_the_store_refuses_the_holder_and_serves_others)
{
    two_machines both;
    auto& ledger = both.one.ledger;
    ledger.on_refused(at(2));
    EXPECT_FALSE(ledger.should_release(at(2.5), at(2.6))) << "one answer lost";
    ledger.on_refused(at(2.3));
    EXPECT_FALSE(ledger.should_release(at(1.9), at(2.6))) << "down for all";
    EXPECT_TRUE(ledger.should_release(at(2.5), at(2.6)));
    ledger.on_uncertain();
    both.one.tick(at(2.8), false);
    EXPECT_FALSE(ledger.should_release(at(2.9), at(2.9))) << "answered again";
}

TEST(lease_release, is_never_due_for_one_that_does_not_hold_it)
{
    two_machines both;
    both.two.ledger.on_refused(at(2));
    both.two.ledger.on_refused(at(2.3));
    EXPECT_FALSE(both.two.ledger.should_release(at(2.5), at(2.6)));
}

/// A release on its way to one machine.
struct release_message
{
    std::size_t to = 0;
    released_lease lease;
};

// Machines tick at random, stand still, lose answers, give leases up, and hear
// of that late, in any order, twice or never: at no time do two of them hold
// the lease, and tokens only rise.
RC_GTEST_PROP(lease_release, never_leads_to_two_holders, (unsigned seed))
{
    std::mt19937 random(seed);
    const auto up_to = [&](int most)
    { return std::uniform_int_distribution<int>(0, most - 1)(random); };
    constexpr int count = 4;
    shared_log log;
    std::vector<std::unique_ptr<machine>> machines;
    for (const auto* name : {"0", "1", "2", "3"})
    {
        machines.push_back(std::make_unique<machine>(log, name));
    }
    std::vector<release_message> on_the_way;
    double now = 0;
    std::int64_t newest_token = -1;
    int releases = 0;
    for (int step = 0; step < 600; ++step)
    {
        now += up_to(200) / 1000.0;
        const auto index = static_cast<std::size_t>(up_to(count));
        auto& one = *machines[index];
        one.tick(at(now), up_to(4) == 0, up_to(5) == 0);
        if (one.ledger.token(at(now)) && up_to(6) == 0)
        {
            one.ledger.release(at(now));
            ++releases;
            const released_lease lease{host_id(std::to_string(index)),
                                       incarnation(1),
                                       one.ledger.released_token()};
            for (std::size_t to = 0; to < machines.size(); ++to)
            {
                on_the_way.push_back({to, lease});
            }
        }
        if (!on_the_way.empty() && up_to(2) == 0)
        {
            const auto next = up_to(static_cast<int>(on_the_way.size()));
            const auto& message = on_the_way[static_cast<std::size_t>(next)];
            machines[message.to]->ledger.on_released(message.lease);
        }
        int holders = 0;
        for (const auto& each : machines)
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
    RC_ASSERT(releases > 0);
}

} // namespace
} // namespace daleshelf
