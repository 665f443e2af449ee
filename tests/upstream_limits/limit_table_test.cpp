#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <upstream_limits/limit_message.hpp>
#include <upstream_limits/limit_pacing.hpp>
#include <upstream_limits/limit_table.hpp>
#include <upstream_limits/retry_schedule.hpp>

namespace daleshelf
{
namespace
{

const upstream_id server("a");
const upstream_incarnation first{server, upstream_birth(1)};
const upstream_incarnation second{server, upstream_birth(2)};

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

TEST(limit_table, an_answer_names_a_limit_and_a_later_one_ends_it)
{
    limit_table table;
    EXPECT_FALSE(
        table.record_response({first, std::nullopt, at(0)}, at(0), at(0)))
        << "there is no limit yet";
    EXPECT_TRUE(table.record_response({first, 2.5, at(0)}, at(1), at(1)));
    EXPECT_EQ(table.limit_of(server), 2.5);
    EXPECT_FALSE(table.record_response({first, 2.5, at(1)}, at(2), at(2)));
    EXPECT_TRUE(
        table.record_response({first, std::nullopt, at(2)}, at(3), at(3)));
    EXPECT_FALSE(table.limit_of(server));
}

TEST(limit_table, an_answer_that_may_be_older_does_not_end_a_limit)
{
    limit_table table;
    table.record_response({first, 1.0, at(0)}, at(1), at(1));
    EXPECT_FALSE(
        table.record_response({first, std::nullopt, at(0.9)}, at(2), at(2)));
    EXPECT_EQ(table.limit_of(server), 1.0);
}

TEST(limit_table, a_new_incarnation_begins_without_a_limit)
{
    limit_table table;
    table.record_response({first, 1.0, at(0)}, at(1), at(1));
    EXPECT_TRUE(
        table.record_response({second, std::nullopt, at(0.5)}, at(2), at(2)));
    EXPECT_FALSE(table.limit_of(server));
    EXPECT_FALSE(table.record_response({first, 1.0, at(3)}, at(4), at(4)))
        << "a response of the earlier incarnation";
    EXPECT_FALSE(table.merge({first, 7.0, at(9)}, at(9)));
}

TEST(limit_table, an_update_is_passed_on_once)
{
    limit_table table;
    const limit_record gossiped{first, 3.0, at(1)};
    EXPECT_TRUE(table.merge(gossiped, at(2)));
    EXPECT_EQ(table.take_updates(8).size(), 1U);
    EXPECT_FALSE(table.merge(gossiped, at(3)));
    EXPECT_FALSE(table.has_updates());
}

TEST(limit_table, evicts_departed_upstreams_and_keeps_listed_ones)
{
    limit_table table;
    table.record_response({first, 1.0, at(0)}, at(1), at(1));
    const auto is_gone = [](const upstream_incarnation&) { return true; };
    EXPECT_TRUE(table.evict(is_gone, at(10)).empty())
        << "it may still get listed";
    EXPECT_TRUE(
        table.evict([](const upstream_incarnation&) { return false; }, at(1000))
            .empty());
    EXPECT_EQ(table.evict(is_gone, at(1000)), std::vector{server});
    EXPECT_EQ(table.limited_count(), 0U);
}

TEST(limit_table, repetition_cycles_through_all_records)
{
    limit_table table;
    for (const auto* name : {"a", "b", "c"})
    {
        table.merge({{upstream_id(name), upstream_birth(1)}, 1.0, at(1)},
                    at(1));
    }
    EXPECT_EQ(table.next_to_repeat(2).front().server.id, upstream_id("a"));
    EXPECT_EQ(table.next_to_repeat(2).front().server.id, upstream_id("c"));
}

limit_record any_record()
{
    limit_record record;
    record.server = {server, upstream_birth(*rc::gen::inRange(0, 3))};
    if (*rc::gen::arbitrary<bool>())
    {
        record.per_second = *rc::gen::inRange(0, 3);
    }
    record.advertised_at = at(*rc::gen::inRange(0, 4));
    return record;
}

// Incarnations are known in this test: an unknown one compares equal to each of
// the others.
RC_GTEST_PROP(limit_table, records_merge_in_any_order_to_the_same, ())
{
    auto records = *rc::gen::container<std::vector<limit_record>>(
        rc::gen::exec(any_record));
    for (auto& record : records)
    {
        record.server.started_at =
            std::max(record.server.started_at, upstream_birth(1));
    }
    limit_table one;
    for (const auto& record : records)
    {
        one.merge(record, at(9));
    }
    std::reverse(records.begin(), records.end());
    limit_table other;
    for (const auto& record : records)
    {
        other.merge(record, at(9));
    }
    RC_ASSERT(one.limit_of(server) == other.limit_of(server));
}

TEST(limit_message, survives_its_encoding_and_drops_invalid_records)
{
    const limit_record advertised{first, 0.5, at(1)};
    const limit_record ended{second, std::nullopt, at(2)};
    const limit_record invalid{first, -1.0, at(1)};
    const auto read =
        decode_limits(encode_limits({advertised, ended, invalid}));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 2U);
    EXPECT_EQ(read->front().per_second, 0.5);
    EXPECT_EQ(read->front().advertised_at, advertised.advertised_at);
    EXPECT_EQ(read->back().server.started_at, second.started_at);
    EXPECT_FALSE(read->back().per_second);
    EXPECT_FALSE(decode_limits("no datagram"));
}

// services/gateway/limit_service.cpp repeats 12 records every two seconds.
TEST(limit_message, a_repetition_takes_little_of_a_link)
{
    const std::vector<limit_record> records(
        12, {{upstream_id("i-1108258c5d"), upstream_birth(1796297865395)},
             2.5,
             absl::FromUnixMillis(1796297865999)});
    constexpr std::size_t headers = 28;
    constexpr std::size_t most_a_second = 300;
    EXPECT_LT((encode_limits(records).size() + headers) / 2, most_a_second);
}

TEST(limit_pacing, hosts_of_a_large_fleet_ask_more_rarely)
{
    EXPECT_LT(grant_back_off(1, 2, 0.5), grant_back_off(1, 4, 0.5));
    EXPECT_LE(grant_back_off(0.2, 1000, 1), absl::Seconds(3));
    EXPECT_GE(grant_back_off(500, 1, 0), absl::Milliseconds(2));
}

TEST(retry_schedule, retries_are_spread_and_bounded)
{
    retry_schedule schedule;
    EXPECT_EQ(schedule.reserve(2, at(0)), absl::Seconds(0.5));
    EXPECT_EQ(schedule.reserve(2, at(0)), absl::Seconds(1));
    EXPECT_EQ(schedule.reserve(2, at(1)), absl::Seconds(0.5));
    for (int caller = 0; caller < 100; ++caller)
    {
        EXPECT_LE(schedule.reserve(0.01, at(1)), absl::Seconds(5));
    }
}

} // namespace
} // namespace daleshelf
