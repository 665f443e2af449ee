#include <gtest/gtest.h>

#include <quotas/shared_quota.hpp>

namespace daleshelf
{
namespace
{

const workspace_id studio("studio");
const hall_id north("north");
const hall_id south("south");
constexpr double rate = 1000;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

std::vector<ingress_tenant> workspaces_with(double rate_per_second)
{
    ingress_tenant workspace;
    workspace.name = studio;
    workspace.limit = {rate_per_second, rate_per_second};
    return {workspace};
}

constexpr double limit_of_window = rate * 8 + rate;
/// Earned a second: of the bound of a window, 9,900, all but 1 s and 0.6 s.
constexpr double window_rate = 9900 / 9.6;
/// What pools hold.
constexpr double held = window_rate * 0.6;

shared_quota make_quota(const std::string& name, const hall_id& hall = north)
{
    shared_quota quota(host_id(name), hall, incarnation(1), quota_options());
    quota.set_limits(workspaces_with(rate));
    return quota;
}

/// Takes as much as one host that is alone gives.
double take_all(shared_quota& quota, absl::Time now, double cost = 10)
{
    double taken = 0;
    while (true)
    {
        auto claim = quota.open_claim(studio, cost, now);
        const auto step = quota.advance(claim, now);
        if (step.result != claim_step::outcome::granted)
        {
            return taken;
        }
        taken += cost;
    }
}

void run(shared_quota& quota, double from, double until)
{
    for (double second = from; second < until; second += 0.25)
    {
        (void)quota.tick(at(second));
    }
}

TEST(shared_quota, a_workspace_without_a_limit_is_never_refused)
{
    auto quota = make_quota("1");
    auto claim = quota.open_claim(workspace_id("other"), 1e12, at(0));
    EXPECT_EQ(quota.advance(claim, at(0)).result, claim_step::outcome::granted);
}

TEST(shared_quota, a_host_that_knows_no_fleet_earns_nothing)
{
    auto quota = make_quota("1");
    run(quota, 0, 60);
    EXPECT_EQ(take_all(quota, at(60)), 0);
}

TEST(shared_quota, a_new_host_earns_once_all_have_heard_of_it)
{
    auto quota = make_quota("1");
    quota.set_join_delay(absl::Seconds(3));
    quota.record_fleet_discovery(false, at(0));
    run(quota, 0, 2.9);
    EXPECT_EQ(take_all(quota, at(2.9)), 0);
    run(quota, 3, 6);
    EXPECT_GT(take_all(quota, at(6)), 0);
}

// It was killed: its quota is what it earns from now on, at once.
TEST(shared_quota, a_host_that_starts_again_begins_empty_and_earns)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    (void)quota.tick(at(0));
    EXPECT_EQ(take_all(quota, at(0)), 0);
    (void)quota.tick(at(0.2));
    const auto taken = take_all(quota, at(0.2));
    EXPECT_GE(taken, window_rate * 0.2 - 10);
    EXPECT_LE(taken, window_rate * 0.2 + held);
}

TEST(shared_quota, holds_what_is_borne_and_earns_the_limit_of_a_window)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60.1);
    // Small requests find what is held, a large one the overdraft besides.
    EXPECT_NEAR(take_all(quota, at(60)), held * 0.7, 10);
    double taken = 0;
    for (double second = 60.25; second <= 68; second += 0.25)
    {
        (void)quota.tick(at(second));
        taken += take_all(quota, at(second));
    }
    EXPECT_NEAR(taken, window_rate * 8, 20);
    EXPECT_LT(taken + held, limit_of_window * 1.1);
}

TEST(shared_quota, a_request_larger_than_what_is_held_overdraws_it_once)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60.1);
    EXPECT_EQ(take_all(quota, at(60), held - 10), held - 10);
    (void)quota.tick(at(60.1));
    EXPECT_EQ(take_all(quota, at(60.1)), 0);
}

TEST(shared_quota, a_lower_limit_holds_at_once)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60);
    quota.set_limits(workspaces_with(rate / 10));
    EXPECT_LE(take_all(quota, at(60)), held / 10 + 10);
}

TEST(shared_quota, a_request_that_has_not_run_is_given_back)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60);
    take_all(quota, at(60));
    quota.refund(studio, 100);
    EXPECT_EQ(take_all(quota, at(60)), 100);
}

TEST(shared_quota, earns_the_share_of_one_host_of_many)
{
    auto quota = make_quota("1");
    for (int number = 2; number <= 10; ++number)
    {
        quota.members().add_host(host_id(std::to_string(number)), south, at(0));
    }
    quota.record_fleet_discovery(true, at(0));
    (void)quota.tick(at(0));
    EXPECT_DOUBLE_EQ(quota.share(), 0.1);
}

// It has heard of two; a peer knows of more that it has not heard of.
TEST(shared_quota, counts_as_many_hosts_as_any_peer_does)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    quota.update_peer({host_id("2"), north, incarnation(1), false, 8}, at(0));
    (void)quota.tick(at(0));
    EXPECT_DOUBLE_EQ(quota.share(), 1.0 / 8);
    // Two of them were struck off since.
    quota.update_peer({host_id("2"), north, incarnation(1), false, 6}, at(1));
    (void)quota.tick(at(1));
    EXPECT_DOUBLE_EQ(quota.share(), 1.0 / 6);
}

// In a fleet of 580 a host's state goes to all in 18 s.
TEST(shared_quota, in_a_large_fleet_what_was_told_counts_for_longer)
{
    auto quota = make_quota("1");
    quota.set_join_delay(absl::Seconds(18));
    quota.record_fleet_discovery(true, at(0));
    quota.update_peer({host_id("2"), north, incarnation(1), false, 580}, at(0));
    (void)quota.tick(at(35));
    EXPECT_DOUBLE_EQ(quota.share(), 1.0 / 580);
}

TEST(shared_quota, a_host_behind_a_cut_keeps_its_share)
{
    auto quota = make_quota("1");
    quota.members().update(host_id("2"), north, incarnation(1), false, at(0));
    for (const auto* name : {"3", "4"})
    {
        quota.members().update(host_id(name), south, incarnation(1), false,
                               at(0));
    }
    quota.record_fleet_discovery(true, at(0));
    // Nobody of the other hall is heard for an hour; the neighbour is.
    for (double second = 0; second < 3600; second += 5)
    {
        quota.members().update(host_id("2"), north, incarnation(1), false,
                               at(second));
        (void)quota.tick(at(second));
    }
    EXPECT_DOUBLE_EQ(quota.share(), 0.25);
    // The retry budget is divided by as many.
    EXPECT_EQ(quota.fleet_size_bound(at(3600)), 4U);
}

TEST(shared_quota, a_host_that_is_gone_for_good_leaves_its_share)
{
    auto quota = make_quota("1");
    for (const auto* name : {"2", "3"})
    {
        quota.members().update(host_id(name), south, incarnation(1), false,
                               at(0));
    }
    quota.members().add_host(host_id("4"), south, at(0));
    quota.record_fleet_discovery(true, at(0));
    for (double second = 0; second < 40; second += 1)
    {
        quota.members().update(host_id("2"), south, incarnation(1), false,
                               at(second));
        quota.members().update(host_id("3"), south, incarnation(1), false,
                               at(second));
        (void)quota.tick(at(second));
    }
    EXPECT_DOUBLE_EQ(quota.share(), 1.0 / 3);
}

TEST(shared_quota, a_host_that_stops_says_so_and_earns_no_more)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 2);
    quota.stop();
    (void)quota.tick(at(2));
    EXPECT_EQ(quota.share(), 0);
    auto other = make_quota("2");
    other.record_fleet_discovery(true, at(0));
    other.members().update(host_id("1"), north, incarnation(1), true, at(2));
    EXPECT_EQ(other.fleet_size(), 2U);
    (void)other.tick(at(6));
    EXPECT_EQ(other.fleet_size(), 1U);
}

/// A keeper and a host that gives to it.
class keeper_and_giver : public testing::Test
{
protected:
    keeper_and_giver()
    {
        // Which of the two keeps the hall's pools follows from their names.
        m_first.members().update(host_id("2"), north, incarnation(1), false,
                                 at(0));
        m_second.members().update(host_id("1"), north, incarnation(1), false,
                                  at(0));
        const bool is_first =
            m_first.members().keepers(at(0)).front() == host_id("1");
        keeper = is_first ? &m_first : &m_second;
        giver = is_first ? &m_second : &m_first;
        keeper->record_fleet_discovery(true, at(0));
        giver->record_fleet_discovery(true, at(0));
    }

    /// @return the giver's deposit, if one is due
    std::optional<quota_message> deposit(double second)
    {
        for (auto& sent : giver->tick(at(second)))
        {
            if (sent.message.kind == quota_message_kind::deposit)
            {
                return std::move(sent.message);
            }
        }
        return std::nullopt;
    }

    /// The giver greets, and the keeper answers.
    void greet()
    {
        (void)giver->receive(*keeper->receive(*deposit(0), at(0)), at(0));
    }

    double balance() const
    {
        return keeper->buckets().states().at(studio).balance;
    }

    shared_quota* keeper = nullptr;
    shared_quota* giver = nullptr;

private:
    shared_quota m_first = make_quota("1");
    shared_quota m_second = make_quota("2");
};

TEST_F(keeper_and_giver, a_deposit_that_comes_again_counts_once)
{
    greet();
    const auto sent = deposit(0.5);
    ASSERT_TRUE(sent);
    (void)keeper->receive(*sent, at(0.5));
    const auto after = balance();
    EXPECT_GT(after, 100);
    (void)keeper->receive(*sent, at(0.6));
    EXPECT_EQ(balance(), after);
}

// After a restart of all, every request was refused until the second deposit.
TEST_F(keeper_and_giver, a_keepers_first_answer_brings_a_deposit_at_once)
{
    (void)giver->tick(at(0));
    const auto greeting = deposit(0.45);
    ASSERT_TRUE(greeting);
    EXPECT_EQ(greeting->credit, 0);
    const auto seen = keeper->receive(*greeting, at(0.45));
    ASSERT_TRUE(seen);
    const auto sent = giver->receive(*seen, at(0.46));
    ASSERT_TRUE(sent);
    (void)keeper->receive(*sent, at(0.46));
    EXPECT_GT(balance(), 100);
    // Only the first: later answers bring none.
    EXPECT_FALSE(giver->receive(*keeper->receive(*sent, at(0.47)), at(0.48)));
}

TEST_F(keeper_and_giver, a_deposit_that_is_lost_comes_with_the_next)
{
    greet();
    (void)deposit(0.5);
    const auto sent = deposit(0.95);
    ASSERT_TRUE(sent);
    (void)keeper->receive(*sent, at(0.95));
    // All of it, were there room for more than the giver's half.
    EXPECT_NEAR(balance(), held * 0.5 * 0.7, 1);
    EXPECT_DOUBLE_EQ(sent->credit, 0.95 * 0.5);
}

TEST_F(keeper_and_giver, a_deposit_for_an_earlier_start_counts_nothing)
{
    greet();
    auto sent = deposit(0.5);
    ASSERT_TRUE(sent);
    sent->keeper_incarnation = incarnation(7);
    (void)keeper->receive(*sent, at(0.5));
    EXPECT_EQ(balance(), 0);
}

// The keeper stood still for two seconds with the deposit in its socket.
TEST_F(keeper_and_giver, a_deposit_that_waited_counts_neither_then_nor_later)
{
    greet();
    const auto sent = deposit(0.5);
    ASSERT_TRUE(sent);
    EXPECT_GT(sent->credit, 0);
    const auto seen = keeper->receive(*sent, at(2.5));
    ASSERT_TRUE(seen);
    EXPECT_EQ(balance(), 0);
    (void)giver->receive(*seen, at(2.5));
    const auto next = deposit(2.6);
    ASSERT_TRUE(next);
    (void)keeper->receive(*next, at(2.6));
    // What was earned meanwhile and could not be given, 0.6 s of it.
    EXPECT_GT(balance(), 0);
    EXPECT_DOUBLE_EQ(next->credit - sent->credit, 0.6 * 0.5);
}

TEST_F(keeper_and_giver, a_host_takes_what_its_keeper_has)
{
    greet();
    (void)keeper->receive(*deposit(0.5), at(0.5));
    auto claim = giver->open_claim(studio, 100, at(0.5));
    const auto step = giver->advance(claim, at(0.5));
    ASSERT_EQ(step.result, claim_step::outcome::pending);
    const auto grant = keeper->receive(step.request->message, at(0.5));
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant->amount, 100);
    (void)giver->receive(*grant, at(0.5));
    EXPECT_TRUE(giver->has_reply(step.request->message.sequence));
    EXPECT_EQ(giver->advance(claim, at(0.5)).result,
              claim_step::outcome::granted);
    // It comes once more: nobody may use it.
    (void)giver->receive(*grant, at(0.5));
    auto next = giver->open_claim(studio, 100, at(0.5));
    EXPECT_EQ(giver->advance(next, at(0.5)).result,
              claim_step::outcome::pending);
}

TEST_F(keeper_and_giver, a_grant_that_comes_late_is_used_by_another_request)
{
    greet();
    (void)keeper->receive(*deposit(0.5), at(0.5));
    auto claim = giver->open_claim(studio, 100, at(0.5));
    const auto step = giver->advance(claim, at(0.5));
    const auto grant = keeper->receive(step.request->message, at(0.5));
    EXPECT_EQ(giver->advance(claim, at(0.6)).result,
              claim_step::outcome::rejected);
    (void)giver->receive(*grant, at(0.7));
    auto next = giver->open_claim(studio, 100, at(0.7));
    EXPECT_EQ(giver->advance(next, at(0.7)).result,
              claim_step::outcome::granted);
}

TEST_F(keeper_and_giver, what_is_not_used_goes_back_once)
{
    greet();
    (void)keeper->receive(*deposit(0.5), at(0.5));
    const auto before = balance();
    EXPECT_GT(take_all(*keeper, at(0.5), 10), 100);
    giver->refund(studio, 70);
    const auto sent = giver->tick(at(0.6));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().message.kind, quota_message_kind::release);
    const auto used_up = balance();
    (void)keeper->receive(sent.front().message, at(0.6));
    (void)keeper->receive(sent.front().message, at(0.6));
    EXPECT_NEAR(balance(), used_up + 70, 1e-6);
    // However much comes back: no pool holds more than its part.
    quota_message more = sent.front().message;
    ++more.sequence;
    more.amount = limit_of_window;
    (void)keeper->receive(more, at(0.6));
    EXPECT_LE(balance(), before);
}

TEST_F(keeper_and_giver, a_keeper_that_does_not_answer_is_passed_over)
{
    for (double second = 0; second < 2; second += 0.5)
    {
        (void)deposit(second);
    }
    EXPECT_FALSE(deposit(2)) << "it keeps what it earns itself";
    EXPECT_GT(take_all(*giver, at(2)), 0);
}

TEST_F(keeper_and_giver, asks_that_are_lost_together_count_as_one)
{
    for (int number = 0; number < 3; ++number)
    {
        auto claim = giver->open_claim(studio, 10, at(0));
        EXPECT_EQ(giver->advance(claim, at(0)).result,
                  claim_step::outcome::pending);
        EXPECT_EQ(giver->advance(claim, at(0.1)).result,
                  claim_step::outcome::rejected);
    }
    EXPECT_TRUE(deposit(0.2)) << "the keeper may have stood still for a moment";
    auto claim = giver->open_claim(studio, 10, at(0.3));
    (void)giver->advance(claim, at(0.3));
    (void)giver->advance(claim, at(0.4));
    EXPECT_FALSE(deposit(0.9)) << "it is away";
}

TEST_F(keeper_and_giver, a_keeper_that_stops_is_left_at_once)
{
    keeper->stop();
    const auto seen = keeper->receive(*deposit(0), at(0));
    ASSERT_TRUE(seen);
    (void)giver->receive(*seen, at(0));
    EXPECT_FALSE(deposit(0.5));
    EXPECT_FALSE(deposit(1));
    EXPECT_GT(take_all(*giver, at(1)), 0);
}

TEST(quota_message, survives_its_encoding)
{
    quota_message message;
    message.kind = quota_message_kind::grant;
    message.from = host_id("1");
    message.hall = north;
    message.sender_incarnation = incarnation(5);
    message.sequence = 6;
    message.is_stopping = true;
    message.fleet_size = 7;
    message.keeper_incarnation = incarnation(8);
    message.share = 0.25;
    message.credit = 9.5;
    message.workspace = studio;
    message.amount = 10.5;
    message.in_reply_to = 11;
    const auto read = decode_quota_message(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, message.kind);
    EXPECT_EQ(read->from, message.from);
    EXPECT_EQ(read->hall, message.hall);
    EXPECT_EQ(read->sender_incarnation, message.sender_incarnation);
    EXPECT_EQ(read->sequence, 6);
    EXPECT_TRUE(read->is_stopping);
    EXPECT_EQ(read->fleet_size, 7);
    EXPECT_EQ(read->keeper_incarnation, message.keeper_incarnation);
    EXPECT_EQ(read->share, 0.25);
    EXPECT_EQ(read->credit, 9.5);
    EXPECT_EQ(read->workspace, studio);
    EXPECT_EQ(read->amount, 10.5);
    EXPECT_EQ(read->in_reply_to, 11);
}

TEST(quota_message, other_bytes_are_none)
{
    EXPECT_FALSE(decode_quota_message(""));
    EXPECT_FALSE(decode_quota_message("no message"));
    quota_message message;
    message.from = host_id("1");
    message.amount = -1;
    EXPECT_FALSE(decode_quota_message(encode(message)));
}

} // namespace
} // namespace daleshelf
