#include <gtest/gtest.h>

#include <base/text.hpp>
#include <peers/packing.hpp>
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

/// @return as many records as servers would write, each with an id and an
/// address of its own
std::vector<shared_record> entries_of_servers(int count)
{
    std::vector<shared_record> records;
    std::uint32_t random = 1;
    for (int index = 0; index < count; ++index)
    {
        random = random * 1664525U + 1013904223U;
        const auto id = concat("i-", random, index);
        records.push_back(
            {log_offset(index), id,
             concat(R"({"service":"huvo11a","address":"10.128.)", random % 250,
                    ".", index % 250,
                    R"(:8080","zone":"sala-palermo","version":"v1","slots":96,)"
                    R"("state":"draining","coldRemainingMs":0,)"
                    R"("stage":"unified","models":[{"name":"m","version":1,)"
                    R"("adapters":[]}],"sequence":)",
                    index % 90, "}")});
    }
    return records;
}

// 1,300 servers that left at once were 0.4 MB for each of 57 hosts: over a link
// of 20 Mbit/s it took their reader 9 s to tell them.
TEST(topic_records, of_many_servers_are_small)
{
    const auto records = entries_of_servers(100);
    std::size_t plain = 0;
    for (const auto& record : records)
    {
        plain += record.key.size() + record.value.size();
    }
    const auto packed =
        encode({"keyed.servers", log_offset(0), log_offset(100), records});
    EXPECT_LT(packed.size() * 6, plain) << packed.size() << " of " << plain;
    const auto read = decode_shared_records(packed);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->records.size(), 100);
    EXPECT_EQ(read->records.back().value, records.back().value);
}

TEST(topic_records, that_are_damaged_are_none)
{
    const auto packed = encode({"keyed.servers", log_offset(0), log_offset(20),
                                entries_of_servers(20)});
    for (std::size_t size = 0; size < packed.size(); ++size)
    {
        const auto read = decode_shared_records(packed.substr(0, size));
        EXPECT_TRUE(!read || read->records.empty()) << size;
    }
    // A frame that claims to hold 2^60 bytes.
    EXPECT_FALSE(unpack(std::string("\x28\xb5\x2f\xfd\xe0\x00\x00\x00\x00"
                                    "\x00\x00\x00\x10",
                                    13)));
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
