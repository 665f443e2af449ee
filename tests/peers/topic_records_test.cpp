#include <gtest/gtest.h>

#include <base/text.hpp>
#include <peers/compression.hpp>
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
        {{log_offset(3), "key", std::string("\0v", 2)}},
        host_id("reader")};
    const auto read = decode_shared_records(encode(records));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->topic, "topic");
    EXPECT_EQ(read->from, log_offset(2));
    EXPECT_EQ(read->next, log_offset(9));
    EXPECT_EQ(read->records.front().value, std::string("\0v", 2));
    EXPECT_EQ(read->root, host_id("reader"));
}

// Guards against a key of another writer that keeps followers from reading the
// records beside it.
TEST(topic_records, keys_may_be_any_bytes)
{
    const std::string key("\xff\xfe\x00\r\n", 5);
    const shared_records records{
        "topic",
        log_offset(2),
        log_offset(4),
        {{log_offset(2), key, "v"}, {log_offset(3), "sound", "v"}},
        host_id("reader")};
    const auto read = decode_shared_records(encode(records));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->records.size(), 2U);
    EXPECT_EQ(read->records.front().key, key);
    EXPECT_EQ(read->records.back().key, "sound");
}

/// @return one record per upstream, each with a unique id and address
std::vector<shared_record> upstream_records(int count)
{
    std::vector<shared_record> records;
    std::uint32_t random_state = 1;
    for (int index = 0; index < count; ++index)
    {
        random_state = random_state * 1664525U + 1013904223U;
        const auto id = concat("i-", random_state, index);
        records.push_back(
            {log_offset(index), id,
             concat(R"({"service":"huvo11a","address":"10.128.)",
                    random_state % 250, ".", index % 250,
                    R"(:8080","zone":"sala-palermo","version":"v1","slots":96,)"
                    R"("state":"draining","coldRemainingMs":0,)"
                    R"("stage":"unified","models":[{"name":"m","version":1,)"
                    R"("adapters":[]}],"sequence":)",
                    index % 90, "}")});
    }
    return records;
}

// Guards against record lists that saturate the reader's link. When 1,300
// upstreams left at once, their records were 0.4 MB for each of 57 hosts, which
// took the reader 9 s to send over a link of 20 Mbit/s.
TEST(topic_records, of_many_servers_are_small)
{
    const auto records = upstream_records(100);
    std::size_t uncompressed_bytes = 0;
    for (const auto& record : records)
    {
        uncompressed_bytes += record.key.size() + record.value.size();
    }
    const auto encoded =
        encode({"keyed.servers", log_offset(0), log_offset(100), records, {}});
    EXPECT_LT(encoded.size() * 6, uncompressed_bytes)
        << encoded.size() << " of " << uncompressed_bytes;
    const auto read = decode_shared_records(encoded);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->records.size(), 100);
    EXPECT_EQ(read->records.back().value, records.back().value);
}

TEST(topic_records, that_are_damaged_yield_no_records)
{
    const auto encoded = encode({"keyed.servers",
                                 log_offset(0),
                                 log_offset(20),
                                 upstream_records(20),
                                 {}});
    for (std::size_t size = 0; size < encoded.size(); ++size)
    {
        const auto read = decode_shared_records(encoded.substr(0, size));
        EXPECT_TRUE(!read || read->records.empty()) << size;
    }
    // A frame that claims a content of 2^60 bytes.
    EXPECT_FALSE(decompress(std::string("\x28\xb5\x2f\xfd\xe0\x00\x00\x00\x00"
                                        "\x00\x00\x00\x10",
                                        13)));
}

// Records of 32 upstreams that leave at once are 10 KB.
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
    std::size_t sent = 0;
    for (const auto& part : parts)
    {
        EXPECT_EQ(part.from, next);
        EXPECT_LE(encode(part).size(), 4500U);
        next = part.next;
        sent += part.records.size();
    }
    EXPECT_EQ(next, log_offset(72));
    EXPECT_EQ(sent, records.size());
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
