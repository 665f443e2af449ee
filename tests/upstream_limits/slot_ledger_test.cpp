#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <upstream_limits/shared_slots.hpp>
#include <upstream_limits/slot_ledger.hpp>

namespace daleshelf
{
namespace
{

const upstream_incarnation brittle{upstream_id("brittle"), upstream_birth(1)};

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

slot_use use_of(std::int64_t in_flight, std::int64_t rejected = 0)
{
    slot_use use;
    use.server = brittle;
    use.slots = 3;
    use.rejection_limit = 1;
    use.in_flight = in_flight;
    use.rejected = rejected;
    use.oldest_pending = std::numeric_limits<std::int64_t>::max();
    return use;
}

slot_ledger::report_source from(const std::string& host, std::int64_t sequence)
{
    return {host_id(host), incarnation(1), sequence};
}

class slot_ledger_test : public testing::Test
{
protected:
    bool take(const std::string& host, std::int64_t sequence, double seconds)
    {
        auto use = use_of(0);
        use.oldest_pending = 1;
        return m_ledger.take(from(host, sequence), use, false, at(seconds));
    }

    void learn()
    {
        m_ledger.report(from("a", 1), use_of(0), at(0));
    }

    slot_ledger m_ledger;
};

TEST_F(slot_ledger_test, hosts_together_get_no_more_than_the_slots)
{
    learn();
    EXPECT_TRUE(take("a", 2, 1));
    EXPECT_TRUE(take("b", 1, 1));
    EXPECT_TRUE(take("a", 3, 1));
    EXPECT_FALSE(take("c", 1, 1));
    m_ledger.report(from("b", 2), use_of(0), at(1.1));
    EXPECT_TRUE(take("c", 2, 1.1));
}

TEST_F(slot_ledger_test, grants_nothing_before_all_hosts_could_report)
{
    EXPECT_FALSE(take("a", 1, 0));
    m_ledger.report(from("b", 1), use_of(3), at(0.2));
    EXPECT_FALSE(take("a", 2, 0.6));
}

TEST_F(slot_ledger_test, a_host_that_is_gone_keeps_its_slots_for_a_while)
{
    learn();
    m_ledger.report(from("gone", 1), use_of(3), at(1));
    EXPECT_FALSE(take("a", 2, 2.9));
    EXPECT_TRUE(take("a", 3, 3.1));
}

TEST_F(slot_ledger_test, a_late_report_replaces_no_newer_one)
{
    learn();
    m_ledger.report(from("b", 5), use_of(3), at(1));
    m_ledger.report(from("b", 4), use_of(0), at(1.1));
    EXPECT_EQ(m_ledger.in_use(brittle.id, at(1.1)), 3);
}

TEST_F(slot_ledger_test, a_restarted_host_begins_anew)
{
    learn();
    m_ledger.report(from("b", 5), use_of(3), at(1));
    auto source = from("b", 1);
    source.host_incarnation = incarnation(2);
    m_ledger.report(source, use_of(1), at(1.1));
    EXPECT_EQ(m_ledger.in_use(brittle.id, at(1.1)), 1);
}

TEST_F(slot_ledger_test, grants_nothing_while_a_rejection_may_be_one_too_many)
{
    learn();
    m_ledger.report(from("b", 1), use_of(0, 4), at(1));
    EXPECT_TRUE(take("a", 2, 1));
    m_ledger.report(from("b", 2), use_of(0, 5), at(1.2));
    EXPECT_FALSE(take("a", 3, 2.2));
    EXPECT_TRUE(take("a", 4, 2.4));
}

TEST_F(slot_ledger_test, withholds_a_slot_after_a_rejection_for_a_while)
{
    learn();
    m_ledger.report(from("b", 1), use_of(0, 0), at(1));
    m_ledger.report(from("b", 2), use_of(0, 1), at(1));
    m_ledger.report(from("b", 3), use_of(2, 1), at(2.5));
    EXPECT_FALSE(take("a", 2, 2.5));
    m_ledger.report(from("b", 4), use_of(2, 1), at(4.5));
    EXPECT_TRUE(take("a", 3, 4.5));
}

TEST_F(slot_ledger_test, a_new_incarnation_has_all_its_slots)
{
    learn();
    m_ledger.report(from("b", 1), use_of(3), at(1));
    auto use = use_of(0);
    use.server.started_at = upstream_birth(2);
    m_ledger.report(from("a", 2), use, at(1));
    EXPECT_EQ(m_ledger.in_use(brittle.id, at(1)), 0);
    m_ledger.report(from("b", 2), use_of(3), at(1));
    EXPECT_EQ(m_ledger.in_use(brittle.id, at(1)), 0);
}

TEST_F(slot_ledger_test, a_slot_of_an_unknown_upstream_is_granted)
{
    auto use = use_of(0);
    use.rejection_limit.reset();
    EXPECT_TRUE(m_ledger.take(from("a", 1), use, false, at(0)));
    EXPECT_EQ(m_ledger.size(), 0U);
    m_ledger.report(from("b", 1), use_of(3), at(1));
    EXPECT_FALSE(m_ledger.take(from("a", 2), use, false, at(2)));
}

TEST(slot_message_test, survives_encoding)
{
    slot_message sent;
    sent.kind = slot_message_kind::request;
    sent.from = host_id("edge-1");
    sent.from_incarnation = incarnation(7);
    sent.sequence = 9;
    sent.uses = {use_of(2, 5)};
    const auto read = decode_slot_message(encode(sent));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, sent.kind);
    EXPECT_EQ(read->from, sent.from);
    EXPECT_EQ(read->sequence, sent.sequence);
    ASSERT_EQ(read->uses.size(), 1U);
    EXPECT_EQ(read->uses.front().rejected, 5);
    EXPECT_EQ(read->uses.front().rejection_limit, 1.0);
}

TEST(slot_message_test, rejects_what_would_break_the_ledger)
{
    slot_message sent;
    sent.kind = slot_message_kind::request;
    sent.from = host_id("edge-1");
    EXPECT_FALSE(decode_slot_message(encode(sent)));
    for (const std::int64_t count : {std::int64_t{-1}, std::int64_t{1} << 40})
    {
        sent.uses = {use_of(count)};
        EXPECT_FALSE(decode_slot_message(encode(sent))) << count;
    }
    sent.uses = {use_of(0)};
    sent.uses.front().rejection_limit = std::numeric_limits<double>::infinity();
    EXPECT_FALSE(decode_slot_message(encode(sent)));
    EXPECT_FALSE(decode_slot_message("no datagram"));
}

TEST(slot_keepers_test, keepers_are_in_the_hall_of_the_upstream)
{
    const std::vector<slot_host> hosts{{host_id("a"), hall_id("near"), true},
                                       {host_id("b"), hall_id("near"), false},
                                       {host_id("c"), hall_id("far"), true}};
    const upstream_id server("server");
    EXPECT_EQ(slot_keepers(server, hall_id("near"), hosts, 2),
              std::vector<host_id>{host_id("a")});
    // Behind a partition of the hall, nobody else grants its slots.
    auto cut = hosts;
    cut.front().is_reachable = false;
    EXPECT_TRUE(slot_keepers(server, hall_id("near"), cut, 2).empty());
    EXPECT_EQ(slot_keepers(server, hall_id("empty"), hosts, 2).size(), 2U);
}

TEST(shared_slots_test, a_host_alone_grants_its_own_slots)
{
    shared_slots slots(host_id("a"), hall_id("near"), incarnation(1));
    const brittle_upstream upstream{brittle, hall_id("near"), 1, 1.0};
    auto claim = slots.open_claim(upstream, at(0));
    EXPECT_EQ(slots.advance(claim, at(0)).result,
              slot_claim_step::status::granted);
    slots.begin(brittle.id);
    auto second = slots.open_claim(upstream, at(0.1));
    EXPECT_EQ(slots.advance(second, at(0.1)).result,
              slot_claim_step::status::denied);
    slots.end(brittle.id);
    auto third = slots.open_claim(upstream, at(0.2));
    EXPECT_EQ(slots.advance(third, at(0.2)).result,
              slot_claim_step::status::granted);
}

TEST(shared_slots_test, a_silent_keeper_delays_few_requests)
{
    shared_slots slots(host_id("a"), hall_id("far"), incarnation(1));
    slots.set_peers({{host_id("keeper"), hall_id("near"), true}});
    const brittle_upstream upstream{brittle, hall_id("near"), 1, 1.0};
    int requests = 0;
    for (int number = 0; number < 8; ++number)
    {
        auto claim = slots.open_claim(upstream, at(1));
        auto step = slots.advance(claim, at(1));
        while (step.result == slot_claim_step::status::pending)
        {
            ++requests;
            step = slots.advance(claim, at(1));
        }
        EXPECT_EQ(step.result, slot_claim_step::status::denied);
    }
    EXPECT_EQ(requests, 4);
}

} // namespace
} // namespace daleshelf
