#include "simulated_host.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <random>

namespace daleshelf
{
namespace
{

// Two hosts: host 1 holds the lease, and both have read the log at 2 s.
struct two_hosts
{
    two_hosts()
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
    simulated_host one{log, "1"};
    simulated_host two{log, "2"};
};

TEST(lease_release, another_host_acquires_a_released_lease_at_once)
{
    two_hosts both;
    both.one.ledger.release(at(2.1));
    EXPECT_FALSE(both.one.ledger.token(at(2.1)));
    both.two.ledger.on_released(both.lease_of_one());
    both.two.tick(at(2.3), false);
    EXPECT_TRUE(both.two.ledger.token(at(2.4)));
}

TEST(lease_release, the_host_that_released_it_leaves_it_to_others)
{
    two_hosts both;
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
    EXPECT_TRUE(both.one.ledger.token(at(12))) << "no other host acquired it";
}

TEST(lease_release, a_late_renewal_does_not_restore_a_released_lease)
{
    two_hosts both;
    const auto renewal = both.one.ledger.next_action(false, at(2.1));
    ASSERT_TRUE(std::holds_alternative<ledger_append>(renewal));
    both.one.ledger.release(at(2.2));
    both.one.perform(std::get<ledger_append>(renewal), at(2.1), false);
    EXPECT_FALSE(both.one.ledger.token(at(2.3)));
    both.two.ledger.on_released(both.lease_of_one());
    // The first grant of host 2 fails, because the log has grown; host 2 reads
    // the log and appends the grant again.
    both.two.tick(at(2.4), false);
    both.two.tick(at(2.6), false);
    both.two.tick(at(2.8), false);
    EXPECT_TRUE(both.two.ledger.token(at(2.9)));
    EXPECT_FALSE(both.one.ledger.token(at(2.9)));
}

TEST(lease_release, ignores_the_release_of_another_token_or_incarnation)
{
    two_hosts both;
    both.two.ledger.on_released({host_id("1"), incarnation(1), 77});
    both.two.ledger.on_released({host_id("1"), incarnation(9), 0});
    both.two.tick(at(2.3), false);
    both.two.tick(at(2.5), false);
    EXPECT_FALSE(both.two.ledger.token(at(2.6)));
}

TEST(lease_release, is_due_once_the_store_refuses_the_holder_and_serves_others)
{
    two_hosts both;
    auto& ledger = both.one.ledger;
    ledger.on_call_failed(at(2));
    EXPECT_FALSE(ledger.should_release(at(2.5), at(2.6)))
        << "one lost response";
    ledger.on_call_failed(at(2.3));
    EXPECT_FALSE(ledger.should_release(at(1.9), at(2.6)))
        << "store down for all hosts";
    EXPECT_TRUE(ledger.should_release(at(2.5), at(2.6)));
    ledger.on_outcome_unknown();
    both.one.tick(at(2.8), false);
    EXPECT_FALSE(ledger.should_release(at(2.9), at(2.9)))
        << "store responds again";
}

TEST(lease_release, is_never_due_for_one_that_does_not_hold_it)
{
    two_hosts both;
    both.two.ledger.on_call_failed(at(2));
    both.two.ledger.on_call_failed(at(2.3));
    EXPECT_FALSE(both.two.ledger.should_release(at(2.5), at(2.6)));
}

/// A release message in flight to one host.
struct release_message
{
    std::size_t to = 0;
    released_lease lease;
};

// Hosts tick at random, pause, lose responses and release leases. Release
// messages arrive late, in any order, twice or never: at no time do two hosts
// hold the lease, and tokens only increase.
RC_GTEST_PROP(lease_release, never_leads_to_two_holders, (unsigned seed))
{
    std::mt19937 random(seed);
    const auto below = [&](int limit)
    { return std::uniform_int_distribution<int>(0, limit - 1)(random); };
    constexpr int count = 4;
    shared_log log;
    std::vector<std::unique_ptr<simulated_host>> hosts;
    for (const auto* name : {"0", "1", "2", "3"})
    {
        hosts.push_back(std::make_unique<simulated_host>(log, name));
    }
    std::vector<release_message> in_flight;
    double now = 0;
    std::int64_t newest_token = -1;
    int releases = 0;
    for (int step = 0; step < 600; ++step)
    {
        now += below(200) / 1000.0;
        const auto index = static_cast<std::size_t>(below(count));
        auto& one = *hosts[index];
        one.tick(at(now), below(4) == 0, below(5) == 0);
        if (one.ledger.token(at(now)) && below(6) == 0)
        {
            one.ledger.release(at(now));
            ++releases;
            const released_lease lease{host_id(std::to_string(index)),
                                       incarnation(1),
                                       one.ledger.released_token()};
            for (std::size_t to = 0; to < hosts.size(); ++to)
            {
                in_flight.push_back({to, lease});
            }
        }
        if (!in_flight.empty() && below(2) == 0)
        {
            const auto next = below(static_cast<int>(in_flight.size()));
            const auto& message = in_flight[static_cast<std::size_t>(next)];
            hosts[message.to]->ledger.on_released(message.lease);
        }
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
    RC_ASSERT(releases > 0);
}

} // namespace
} // namespace daleshelf
