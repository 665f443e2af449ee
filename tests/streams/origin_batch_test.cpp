#include <gtest/gtest.h>

#include <base/text.hpp>
#include <streams/origin_batch.hpp>

namespace daleshelf
{
namespace
{

const absl::Time start = absl::UnixEpoch();
constexpr absl::Duration keep_time = absl::Seconds(10);

stream_origin origin_of(int number)
{
    return {request_id(concat("attempt-", number)), service_name("engines"),
            version_name("v1")};
}

std::vector<std::string> names_of(const std::vector<timed_origin>& origins)
{
    std::vector<std::string> names;
    names.reserve(origins.size());
    for (const auto& origin : origins)
    {
        names.push_back(origin.origin.attempt.value());
    }
    return names;
}

TEST(origin_batch, gives_the_oldest_first_up_to_a_limit)
{
    origin_batch batch(8);
    for (int number = 0; number < 3; ++number)
    {
        batch.add(origin_of(number), keep_time, start);
    }
    EXPECT_EQ(names_of(batch.take(2, start)),
              (std::vector<std::string>{"attempt-0", "attempt-1"}));
    EXPECT_EQ(names_of(batch.take(2, start)),
              std::vector<std::string>{"attempt-2"});
    EXPECT_EQ(batch.size(), 0U);
}

TEST(origin_batch, drops_what_can_no_longer_be_resumed)
{
    origin_batch batch(8);
    batch.add(origin_of(0), keep_time, start);
    batch.add(origin_of(1), 2 * keep_time, start);
    const auto taken = batch.take(8, start + keep_time);
    EXPECT_EQ(names_of(taken), std::vector<std::string>{"attempt-1"});
    EXPECT_EQ(taken.front().keep_time, keep_time);
}

// While a service has one version only, nothing is taken.
TEST(origin_batch, keeps_no_expired_origins_without_being_taken)
{
    origin_batch batch(1024);
    for (int number = 0; number < 100; ++number)
    {
        batch.add(origin_of(number), keep_time, start + number * keep_time / 5);
    }
    EXPECT_EQ(batch.size(), 5U);
}

TEST(origin_batch, what_is_put_back_comes_first_again)
{
    origin_batch batch(8);
    batch.add(origin_of(0), keep_time, start);
    batch.add(origin_of(1), keep_time, start);
    const auto taken = batch.take(8, start);
    batch.add(origin_of(2), keep_time, start);
    batch.put_back(taken, start);
    EXPECT_EQ(
        names_of(batch.take(8, start)),
        (std::vector<std::string>{"attempt-0", "attempt-1", "attempt-2"}));
}

TEST(origin_batch, a_log_that_is_silent_costs_the_oldest)
{
    origin_batch batch(2);
    for (int number = 0; number < 4; ++number)
    {
        const auto taken = batch.take(1, start);
        batch.add(origin_of(number), keep_time, start);
        batch.put_back(taken, start);
    }
    EXPECT_EQ(names_of(batch.take(8, start)),
              (std::vector<std::string>{"attempt-2", "attempt-3"}));
}

// A partition of the log takes 250 appends a second, one after the other.
TEST(origin_batch, a_fleet_of_any_size_stays_within_the_rate_of_the_store)
{
    for (const std::size_t hosts : {1, 8, 86, 580, 985})
    {
        const auto writes_per_second =
            static_cast<double>(hosts) /
            absl::ToDoubleSeconds(origin_write_interval(hosts));
        EXPECT_LE(writes_per_second, 220) << hosts;
    }
}

} // namespace
} // namespace daleshelf
