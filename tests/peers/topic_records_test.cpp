#include <gtest/gtest.h>

#include <peers/topic_records.hpp>

namespace daleshelf
{
namespace
{

TEST(topic_records, survive_their_encoding)
{
    const shared_records records{
        "topic",
        log_offset(2),
        log_offset(9),
        {{log_offset(3), "key", std::string("\0v", 2)}}};
    const auto read = decode_shared_records(encode(records));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->topic, "topic");
    EXPECT_EQ(read->from, log_offset(2));
    EXPECT_EQ(read->next, log_offset(9));
    EXPECT_EQ(read->records.front().value, std::string("\0v", 2));
}

// 32 servers that leave at once are 10 KB.
TEST(topic_records, are_told_in_parts_that_follow_one_another)
{
    std::vector<shared_record> records;
    records.reserve(32);
    for (int index = 0; index < 32; ++index)
    {
        records.push_back(
            {log_offset(40 + index), "key", std::string(300, 'v')});
    }
    const auto parts = split_records("servers", log_offset(40), records, 4096);
    EXPECT_EQ(parts.size(), 3U);
    auto next = log_offset(40);
    std::size_t told = 0;
    for (const auto& part : parts)
    {
        EXPECT_EQ(part.from, next);
        EXPECT_LE(encode(part).size(), 4500U);
        next = part.next;
        told += part.records.size();
    }
    EXPECT_EQ(next, log_offset(72));
    EXPECT_EQ(told, records.size());
}

TEST(topic_records, one_that_is_larger_than_a_part_is_a_part)
{
    const std::vector<shared_record> records{
        {log_offset(1), "a", std::string(9000, 'v')},
        {log_offset(2), "b", "v"}};
    EXPECT_EQ(split_records("servers", log_offset(1), records, 4096).size(),
              2U);
    const auto none = split_records("servers", log_offset(3), {}, 4096);
    ASSERT_EQ(none.size(), 1U);
    EXPECT_EQ(none.front().from, log_offset(3));
    EXPECT_EQ(none.front().next, log_offset(3));
}

} // namespace
} // namespace daleshelf
