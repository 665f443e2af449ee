#include <gtest/gtest.h>

#include <base/text.hpp>
#include <streams/origin_message.hpp>
#include <streams/origin_store.hpp>

namespace daleshelf
{
namespace
{

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

stream_origin make_origin(int number, const std::string& version = "v1")
{
    return {request_id(concat("attempt-", number)), service_name("engines"),
            version_name(version)};
}

TEST(origin_store, keeps_an_origin_for_its_time)
{
    origin_store store(10);
    store.add(make_origin(1), absl::Seconds(5), at(0));
    const auto found = store.find(request_id("attempt-1"), at(4.9));
    ASSERT_TRUE(found);
    EXPECT_EQ(found->version, version_name("v1"));
    EXPECT_EQ(found->service, service_name("engines"));
    EXPECT_FALSE(store.find(request_id("attempt-1"), at(5)));
    EXPECT_FALSE(store.find(request_id("attempt-2"), at(1)));
}

TEST(origin_store, does_not_change_what_it_knows)
{
    origin_store store(10);
    store.add(make_origin(1, "v1"), absl::Seconds(5), at(0));
    store.add(make_origin(1, "v2"), absl::Seconds(50), at(1));
    EXPECT_EQ(store.find(request_id("attempt-1"), at(2))->version,
              version_name("v1"));
    EXPECT_FALSE(store.find(request_id("attempt-1"), at(6)));
}

TEST(origin_store, evicts_the_oldest_beyond_its_capacity)
{
    origin_store store(3);
    for (int number = 1; number <= 5; ++number)
    {
        store.add(make_origin(number), absl::Seconds(50), at(number));
    }
    EXPECT_EQ(store.size(), 3);
    EXPECT_FALSE(store.find(request_id("attempt-2"), at(6)));
    EXPECT_TRUE(store.find(request_id("attempt-3"), at(6)));
}

TEST(origin_store, forgets_what_has_expired)
{
    origin_store store(1000);
    for (int number = 0; number < 100; ++number)
    {
        store.add(make_origin(number), absl::Hours(1), at(number));
    }
    store.add(make_origin(200), absl::Seconds(1), at(1000));
    EXPECT_EQ(store.size(), 1) << "no origin is kept for an hour";
    EXPECT_EQ(store.all(at(1000)).size(), 1);
    EXPECT_TRUE(store.all(at(1001)).empty());
}

TEST(origin_message, is_read_as_it_was_written)
{
    origin_message message;
    message.question = 7;
    message.is_reply = true;
    message.sole_version = version_name("");
    message.list_offset = log_offset(91);
    message.origins = {{make_origin(1), absl::Seconds(3)}};
    const auto read = decode_origins(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->question, 7);
    EXPECT_TRUE(read->is_reply);
    EXPECT_EQ(read->sole_version, version_name(""));
    EXPECT_EQ(read->list_offset, log_offset(91));
    EXPECT_EQ(read->origins, message.origins);
    EXPECT_FALSE(decode_origins(encode(origin_message()))->sole_version);
    EXPECT_FALSE(decode_origins("\x08\x07"));
    EXPECT_FALSE(decode_origins("\x08"));
}

} // namespace
} // namespace daleshelf
