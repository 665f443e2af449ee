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

constexpr double window_limit = rate * 8 + rate;
/// Of the bound of a window, 9,900; 9.6 s are the window, 1 s and 0.6 s.
constexpr double refill_rate = 9900 / 9.6;
constexpr double capacity = refill_rate * 0.6;

shared_quota make_quota(const std::string& name, const hall_id& hall = north)
{
    shared_quota quota(host_id(name), hall, incarnation(1), quota_options());
    quota.set_limits(workspaces_with(rate));
    return quota;
}

/// Takes all tokens that a host without peers grants.
double take_all(shared_quota& quota, absl::Time now, double cost = 10)
{
    double taken = 0;
    while (true)
    {
        auto claim = quota.open_claim(studio, cost, now);
        const auto step = quota.advance(claim, now);
        if (step.result != claim_step::status::granted)
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
    EXPECT_EQ(quota.advance(claim, at(0)).result, claim_step::status::granted);
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

/// A new host of a fleet of five halls whose other hosts all answer it.
/// @param silent_hall hall whose keeper does not answer
/// @return when the new host first has a share, in seconds
double time_until_share(int hosts, const std::string& silent_hall = "")
{
    auto quota = make_quota("new", hall_id("hall-0"));
    // A host sends its state to 32 others a second.
    quota.set_join_delay(absl::Seconds(hosts / 32.0 + 1));
    for (int host = 0; host < hosts; ++host)
    {
        quota.fleet().add_host(host_id("host-" + std::to_string(host)),
                               hall_id("hall-" + std::to_string(host % 5)),
                               at(0));
    }
    quota.record_fleet_discovery(false, at(0));
    std::int64_t sequence = 0;
    for (double second = 0; second < 120; second += 0.25)
    {
        for (const auto& [to, message] : quota.tick(at(second)))
        {
            const auto number = std::stoi(to.value().substr(5));
            const hall_id hall("hall-" + std::to_string(number % 5));
            if (message.kind != quota_message_kind::deposit ||
                hall.value() == silent_hall)
            {
                continue;
            }
            quota_message ack;
            ack.kind = quota_message_kind::deposit_ack;
            ack.from = to;
            ack.hall = hall;
            ack.sender_incarnation = incarnation(1);
            ack.sequence = ++sequence;
            ack.in_reply_to = message.sequence;
            ack.fleet_size = hosts + 1;
            (void)quota.receive(ack, at(second));
        }
        if (quota.share() > 0)
        {
            EXPECT_DOUBLE_EQ(quota.share(), 1.0 / (hosts + 1));
            return second;
        }
    }
    return 120;
}

// Guards against a fleet that rejects all limited requests for longer the
// larger it is: the state of a host takes 31 s to reach 984 others.
TEST(shared_quota, a_new_host_accrues_soon_in_a_fleet_of_any_size)
{
    for (const int hosts : {9, 77, 295, 985, 1970})
    {
        EXPECT_LE(time_until_share(hosts), 2.5) << hosts;
    }
}

// Those that have counted a host go on counting it when a keeper is replaced.
TEST(shared_quota, a_counted_host_accrues_while_a_keeper_is_replaced)
{
    auto quota = make_quota("new");
    quota.set_join_delay(absl::Seconds(30));
    // One of many: it is not the keeper of its hall.
    for (int number = 0; number < 50; ++number)
    {
        quota.fleet().update(host_id("n" + std::to_string(number)), north,
                             incarnation(1), false, at(0));
    }
    quota.fleet().update(host_id("s1"), south, incarnation(1), false, at(0));
    quota.record_fleet_discovery(false, at(0));
    std::int64_t sequence = 0;
    for (double second = 0; second <= 3; second += 0.25)
    {
        for (const auto& [to, message] : quota.tick(at(second)))
        {
            quota_message ack;
            ack.kind = quota_message_kind::deposit_ack;
            ack.from = to;
            ack.hall = to.value().front() == 'n' ? north : south;
            ack.sender_incarnation = incarnation(1);
            ack.sequence = ++sequence;
            ack.in_reply_to = message.sequence;
            (void)quota.receive(ack, at(second));
        }
    }
    ASSERT_GT(quota.share(), 0);
    quota.fleet().update(host_id("s1"), south, incarnation(1), true, at(3));
    quota.fleet().update(host_id("s2"), south, incarnation(1), false, at(3));
    (void)quota.tick(at(3.25));
    EXPECT_GT(quota.share(), 0);
}

// The hosts of that hall may not have heard of the new one.
TEST(shared_quota, a_new_host_waits_if_a_keeper_has_not_counted_it)
{
    EXPECT_GE(time_until_share(985, "hall-3"), 985 / 32.0 + 1);
}

// After a crash only credit accrued from now on counts, without delay.
TEST(shared_quota, a_restarted_host_starts_empty_and_accrues_at_once)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    (void)quota.tick(at(0));
    EXPECT_EQ(take_all(quota, at(0)), 0);
    (void)quota.tick(at(0.2));
    const auto taken = take_all(quota, at(0.2));
    EXPECT_GE(taken, refill_rate * 0.2 - 10);
    EXPECT_LE(taken, refill_rate * 0.2 + capacity);
}

TEST(shared_quota, holds_the_tolerated_excess_and_accrues_the_limit_of_a_window)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60.1);
    // Small requests can use the balance only, a large one the overdraft too.
    EXPECT_NEAR(take_all(quota, at(60)), capacity * 0.7, 10);
    double taken = 0;
    for (double second = 60.25; second <= 68; second += 0.25)
    {
        (void)quota.tick(at(second));
        taken += take_all(quota, at(second));
    }
    EXPECT_NEAR(taken, refill_rate * 8, 20);
    EXPECT_LT(taken + capacity, window_limit * 1.1);
}

TEST(shared_quota, a_request_larger_than_what_is_held_overdraws_it_once)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60.1);
    EXPECT_EQ(take_all(quota, at(60), capacity - 10), capacity - 10);
    (void)quota.tick(at(60.1));
    EXPECT_EQ(take_all(quota, at(60.1)), 0);
}

TEST(shared_quota, a_lower_limit_holds_at_once)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    run(quota, 0, 60);
    quota.set_limits(workspaces_with(rate / 10));
    EXPECT_LE(take_all(quota, at(60)), capacity / 10 + 10);
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
        quota.fleet().add_host(host_id(std::to_string(number)), south, at(0));
    }
    quota.record_fleet_discovery(true, at(0));
    (void)quota.tick(at(0));
    EXPECT_DOUBLE_EQ(quota.share(), 0.1);
}

// A peer knows of more hosts than this one has heard.
TEST(shared_quota, counts_as_many_hosts_as_any_peer_does)
{
    auto quota = make_quota("1");
    quota.record_fleet_discovery(true, at(0));
    quota.update_peer({host_id("2"), north, incarnation(1), false, 8}, at(0));
    (void)quota.tick(at(0));
    EXPECT_DOUBLE_EQ(quota.share(), 1.0 / 8);
    // Two of them have been evicted since.
    quota.update_peer({host_id("2"), north, incarnation(1), false, 6}, at(1));
    (void)quota.tick(at(1));
    EXPECT_DOUBLE_EQ(quota.share(), 1.0 / 6);
}

// In a fleet of 580 hosts a state reaches all others within 18 s.
TEST(shared_quota, in_a_large_fleet_a_reported_size_counts_for_longer)
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
    quota.fleet().update(host_id("2"), north, incarnation(1), false, at(0));
    for (const auto* id : {"3", "4"})
    {
        quota.fleet().update(host_id(id), south, incarnation(1), false, at(0));
    }
    quota.record_fleet_discovery(true, at(0));
    // The other hall is silent for an hour; the neighbour is not.
    for (double second = 0; second < 3600; second += 5)
    {
        quota.fleet().update(host_id("2"), north, incarnation(1), false,
                             at(second));
        (void)quota.tick(at(second));
    }
    EXPECT_DOUBLE_EQ(quota.share(), 0.25);
    // The retry budget is divided by the same number.
    EXPECT_EQ(quota.fleet_size_bound(at(3600)), 4U);
}

TEST(shared_quota, the_share_of_a_departed_host_goes_to_the_others)
{
    auto quota = make_quota("1");
    for (const auto* id : {"2", "3"})
    {
        quota.fleet().update(host_id(id), south, incarnation(1), false, at(0));
    }
    quota.fleet().add_host(host_id("4"), south, at(0));
    quota.record_fleet_discovery(true, at(0));
    for (double second = 0; second < 40; second += 1)
    {
        quota.fleet().update(host_id("2"), south, incarnation(1), false,
                             at(second));
        quota.fleet().update(host_id("3"), south, incarnation(1), false,
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
    other.fleet().update(host_id("1"), north, incarnation(1), true, at(2));
    EXPECT_EQ(other.fleet_size(), 2U);
    (void)other.tick(at(6));
    EXPECT_EQ(other.fleet_size(), 1U);
}

/// A keeper and a host that sends it deposits.
class keeper_and_host : public testing::Test
{
protected:
    keeper_and_host()
    {
        // The names decide which of the two is the hall's keeper.
        m_one.fleet().update(host_id("2"), north, incarnation(1), false, at(0));
        m_two.fleet().update(host_id("1"), north, incarnation(1), false, at(0));
        const bool is_first =
            m_one.fleet().keepers(at(0)).front() == host_id("1");
        keeper = is_first ? &m_one : &m_two;
        host = is_first ? &m_two : &m_one;
        keeper->record_fleet_discovery(true, at(0));
        host->record_fleet_discovery(true, at(0));
    }

    /// @return the host's deposit, if one is due
    std::optional<quota_message> deposit(double second)
    {
        for (auto& sent : host->tick(at(second)))
        {
            if (sent.message.kind == quota_message_kind::deposit)
            {
                return std::move(sent.message);
            }
        }
        return std::nullopt;
    }

    /// Exchanges a first deposit and its acknowledgement.
    void connect()
    {
        (void)host->receive(*keeper->receive(*deposit(0), at(0)), at(0));
    }

    double balance() const
    {
        return keeper->buckets().states().at(studio).balance;
    }

    shared_quota* keeper = nullptr;
    shared_quota* host = nullptr;

private:
    shared_quota m_one = make_quota("1");
    shared_quota m_two = make_quota("2");
};

TEST_F(keeper_and_host, a_deposit_that_comes_again_counts_once)
{
    connect();
    const auto sent = deposit(0.5);
    ASSERT_TRUE(sent);
    (void)keeper->receive(*sent, at(0.5));
    const auto after = balance();
    EXPECT_GT(after, 100);
    (void)keeper->receive(*sent, at(0.6));
    EXPECT_EQ(balance(), after);
}

// Guards against rejecting all until the second deposit after a full restart.
TEST_F(keeper_and_host, the_first_acknowledgement_triggers_a_deposit)
{
    (void)host->tick(at(0));
    const auto first_deposit = deposit(0.45);
    ASSERT_TRUE(first_deposit);
    EXPECT_EQ(first_deposit->credit, 0);
    const auto ack = keeper->receive(*first_deposit, at(0.45));
    ASSERT_TRUE(ack);
    const auto sent = host->receive(*ack, at(0.46));
    ASSERT_TRUE(sent);
    (void)keeper->receive(*sent, at(0.46));
    EXPECT_GT(balance(), 100);
    // Later acknowledgements trigger no deposit.
    EXPECT_FALSE(host->receive(*keeper->receive(*sent, at(0.47)), at(0.48)));
}

TEST_F(keeper_and_host, a_deposit_that_is_lost_comes_with_the_next)
{
    connect();
    (void)deposit(0.5);
    const auto sent = deposit(0.95);
    ASSERT_TRUE(sent);
    (void)keeper->receive(*sent, at(0.95));
    // Includes the lost credit, up to the capacity for the host's half.
    EXPECT_NEAR(balance(), capacity * 0.5 * 0.7, 1);
    EXPECT_DOUBLE_EQ(sent->credit, 0.95 * 0.5);
}

TEST_F(keeper_and_host, a_deposit_for_an_earlier_start_counts_nothing)
{
    connect();
    auto sent = deposit(0.5);
    ASSERT_TRUE(sent);
    sent->keeper_incarnation = incarnation(7);
    (void)keeper->receive(*sent, at(0.5));
    EXPECT_EQ(balance(), 0);
}

// The keeper was paused for two seconds while the deposit was in its socket.
TEST_F(keeper_and_host, a_late_deposit_never_counts)
{
    connect();
    const auto sent = deposit(0.5);
    ASSERT_TRUE(sent);
    EXPECT_GT(sent->credit, 0);
    const auto ack = keeper->receive(*sent, at(2.5));
    ASSERT_TRUE(ack);
    EXPECT_EQ(balance(), 0);
    (void)host->receive(*ack, at(2.5));
    const auto next = deposit(2.6);
    ASSERT_TRUE(next);
    (void)keeper->receive(*next, at(2.6));
    // Only 0.6 s of the credit accrued since then is deposited.
    EXPECT_GT(balance(), 0);
    EXPECT_DOUBLE_EQ(next->credit - sent->credit, 0.6 * 0.5);
}

TEST_F(keeper_and_host, a_host_takes_what_its_keeper_has)
{
    connect();
    (void)keeper->receive(*deposit(0.5), at(0.5));
    auto claim = host->open_claim(studio, 100, at(0.5));
    const auto step = host->advance(claim, at(0.5));
    ASSERT_EQ(step.result, claim_step::status::pending);
    const auto grant = keeper->receive(step.request->message, at(0.5));
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant->amount, 100);
    (void)host->receive(*grant, at(0.5));
    EXPECT_TRUE(host->has_reply(step.request->message.sequence));
    EXPECT_EQ(host->advance(claim, at(0.5)).result,
              claim_step::status::granted);
    // A duplicate of the grant cannot be used.
    (void)host->receive(*grant, at(0.5));
    auto next = host->open_claim(studio, 100, at(0.5));
    EXPECT_EQ(host->advance(next, at(0.5)).result, claim_step::status::pending);
}

TEST_F(keeper_and_host, a_grant_that_comes_late_is_used_by_another_request)
{
    connect();
    (void)keeper->receive(*deposit(0.5), at(0.5));
    auto claim = host->open_claim(studio, 100, at(0.5));
    const auto step = host->advance(claim, at(0.5));
    const auto grant = keeper->receive(step.request->message, at(0.5));
    EXPECT_EQ(host->advance(claim, at(0.6)).result,
              claim_step::status::rejected);
    (void)host->receive(*grant, at(0.7));
    auto next = host->open_claim(studio, 100, at(0.7));
    EXPECT_EQ(host->advance(next, at(0.7)).result, claim_step::status::granted);
}

TEST_F(keeper_and_host, unused_tokens_are_released_once)
{
    connect();
    (void)keeper->receive(*deposit(0.5), at(0.5));
    const auto before = balance();
    EXPECT_GT(take_all(*keeper, at(0.5), 10), 100);
    host->refund(studio, 70);
    const auto sent = host->tick(at(0.6));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().message.kind, quota_message_kind::release);
    const auto depleted = balance();
    (void)keeper->receive(sent.front().message, at(0.6));
    (void)keeper->receive(sent.front().message, at(0.6));
    EXPECT_NEAR(balance(), depleted + 70, 1e-6);
    // No release raises a bucket above its capacity.
    quota_message more = sent.front().message;
    ++more.sequence;
    more.amount = window_limit;
    (void)keeper->receive(more, at(0.6));
    EXPECT_LE(balance(), before);
}

TEST_F(keeper_and_host, a_keeper_that_does_not_answer_is_passed_over)
{
    for (double second = 0; second < 2; second += 0.5)
    {
        (void)deposit(second);
    }
    EXPECT_FALSE(deposit(2)) << "it deposits with itself";
    EXPECT_GT(take_all(*host, at(2)), 0);
}

TEST_F(keeper_and_host, asks_that_are_lost_together_count_as_one)
{
    for (int number = 0; number < 3; ++number)
    {
        auto claim = host->open_claim(studio, 10, at(0));
        EXPECT_EQ(host->advance(claim, at(0)).result,
                  claim_step::status::pending);
        EXPECT_EQ(host->advance(claim, at(0.1)).result,
                  claim_step::status::rejected);
    }
    EXPECT_TRUE(deposit(0.2)) << "the keeper may have paused briefly";
    auto claim = host->open_claim(studio, 10, at(0.3));
    (void)host->advance(claim, at(0.3));
    (void)host->advance(claim, at(0.4));
    EXPECT_FALSE(deposit(0.9)) << "it is unreachable";
}

TEST_F(keeper_and_host, a_stopping_keeper_is_replaced_at_once)
{
    keeper->stop();
    const auto ack = keeper->receive(*deposit(0), at(0));
    ASSERT_TRUE(ack);
    (void)host->receive(*ack, at(0));
    EXPECT_FALSE(deposit(0.5));
    EXPECT_FALSE(deposit(1));
    EXPECT_GT(take_all(*host, at(1)), 0);
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

TEST(quota_message, rejects_other_bytes)
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
