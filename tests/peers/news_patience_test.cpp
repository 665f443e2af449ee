#include <gtest/gtest.h>

#include <peers/news_patience.hpp>

namespace daleshelf
{
namespace
{

constexpr absl::Duration patience = absl::Milliseconds(350);

absl::Time at(int ms)
{
    return absl::UnixEpoch() + absl::Milliseconds(ms);
}

known_records servers_up_to(std::int64_t offset)
{
    return {1, log_offset(offset)};
}

std::optional<news_source> peer_with(std::int64_t offset)
{
    return news_source{shared_topic::servers, "a:1", servers_up_to(offset)};
}

// Each host of a fleet of 295 asked a peer for the whole list twice a second
// while servers left one after the other, though it heard of each within 0.2 s:
// 110 lists within 8 s at the 55 hosts of one hall.
TEST(news_patience, is_not_over_while_what_is_missing_comes_in_time)
{
    news_patience waiting(patience);
    for (int ms = 0; ms < 20000; ms += 50)
    {
        const auto known_by_peer = ms / 50;
        const auto known_here = (ms - 200) / 50;
        EXPECT_FALSE(waiting.is_over(servers_up_to(known_here),
                                     peer_with(known_by_peer), at(ms)))
            << "at " << ms << " ms";
    }
}

TEST(news_patience, is_over_when_a_record_stays_missing)
{
    news_patience waiting(patience);
    EXPECT_FALSE(waiting.is_over(servers_up_to(4), peer_with(5), at(0)));
    EXPECT_FALSE(waiting.is_over(servers_up_to(4), peer_with(9), at(300)));
    EXPECT_TRUE(waiting.is_over(servers_up_to(4), peer_with(9), at(350)));
    // A new wait begins.
    EXPECT_FALSE(waiting.is_over(servers_up_to(4), peer_with(9), at(400)));
    EXPECT_TRUE(waiting.is_over(servers_up_to(4), peer_with(9), at(750)));
}

TEST(news_patience, begins_anew_once_what_was_missing_has_come)
{
    news_patience waiting(patience);
    EXPECT_FALSE(waiting.is_over(servers_up_to(4), peer_with(5), at(0)));
    EXPECT_FALSE(waiting.is_over(servers_up_to(5), std::nullopt, at(200)));
    EXPECT_FALSE(waiting.is_over(servers_up_to(5), peer_with(6), at(400)));
    EXPECT_TRUE(waiting.is_over(servers_up_to(5), peer_with(6), at(750)));
}

TEST(news_patience, waits_for_each_topic_by_itself)
{
    news_patience waiting(patience);
    EXPECT_FALSE(waiting.is_over(servers_up_to(4), peer_with(5), at(0)));
    const news_source configuration{
        shared_topic::configuration, "a:1", {2, log_offset(5)}};
    EXPECT_FALSE(waiting.is_over(servers_up_to(4), configuration, at(400)));
    EXPECT_TRUE(waiting.is_over(servers_up_to(4), configuration, at(750)));
}

} // namespace
} // namespace daleshelf
