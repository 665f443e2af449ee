#include <gtest/gtest.h>

#include <peers/fetch_delay.hpp>

namespace daleshelf
{
namespace
{

constexpr absl::Duration delay = absl::Milliseconds(350);

absl::Time at(int ms)
{
    return absl::UnixEpoch() + absl::Milliseconds(ms);
}

topic_positions servers_at(std::int64_t offset)
{
    return {1, log_offset(offset)};
}

std::optional<record_source> peer_at(std::int64_t offset)
{
    return record_source{shared_topic::servers, "a:1", servers_at(offset)};
}

// Guards against a delay that runs per topic instead of per record. While
// upstreams left one after another, each of 295 hosts requested the full list
// from a peer twice per second, although every record arrived within 0.2 s: 110
// lists within 8 s at the 55 hosts of one hall.
TEST(fetch_delay, is_not_over_while_what_is_missing_comes_in_time)
{
    fetch_delay fetch(delay);
    for (int ms = 0; ms < 20000; ms += 50)
    {
        const auto known_by_peer = ms / 50;
        const auto known_here = (ms - 200) / 50;
        EXPECT_FALSE(fetch.has_elapsed(servers_at(known_here),
                                       peer_at(known_by_peer), at(ms)))
            << "at " << ms << " ms";
    }
}

TEST(fetch_delay, is_over_when_a_record_stays_missing)
{
    fetch_delay fetch(delay);
    EXPECT_FALSE(fetch.has_elapsed(servers_at(4), peer_at(5), at(0)));
    EXPECT_FALSE(fetch.has_elapsed(servers_at(4), peer_at(9), at(300)));
    EXPECT_TRUE(fetch.has_elapsed(servers_at(4), peer_at(9), at(350)));
    // The delay has restarted.
    EXPECT_FALSE(fetch.has_elapsed(servers_at(4), peer_at(9), at(400)));
    EXPECT_TRUE(fetch.has_elapsed(servers_at(4), peer_at(9), at(750)));
}

TEST(fetch_delay, begins_anew_once_what_was_missing_has_come)
{
    fetch_delay fetch(delay);
    EXPECT_FALSE(fetch.has_elapsed(servers_at(4), peer_at(5), at(0)));
    EXPECT_FALSE(fetch.has_elapsed(servers_at(5), std::nullopt, at(200)));
    EXPECT_FALSE(fetch.has_elapsed(servers_at(5), peer_at(6), at(400)));
    EXPECT_TRUE(fetch.has_elapsed(servers_at(5), peer_at(6), at(750)));
}

TEST(fetch_delay, waits_for_each_topic_by_itself)
{
    fetch_delay fetch(delay);
    EXPECT_FALSE(fetch.has_elapsed(servers_at(4), peer_at(5), at(0)));
    const record_source configuration{
        shared_topic::configuration, "a:1", {2, log_offset(5)}};
    EXPECT_FALSE(fetch.has_elapsed(servers_at(4), configuration, at(400)));
    EXPECT_TRUE(fetch.has_elapsed(servers_at(4), configuration, at(750)));
}

} // namespace
} // namespace daleshelf
