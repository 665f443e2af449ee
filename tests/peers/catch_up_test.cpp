// A hall whose hosts all start at once. Guards against each of them listing the
// store: 985 hosts and 10,000 upstreams are 4 GB, which a store of 80 MB a
// second sends in 50 s.
#include <gtest/gtest.h>

#include <peers/catch_up.hpp>
#include <random>
#include <vector>

namespace daleshelf
{
namespace
{

constexpr absl::Duration step_time = absl::Milliseconds(150);
constexpr absl::Duration store_list_time = absl::Milliseconds(600);
constexpr absl::Duration transfer_time = absl::Milliseconds(200);
constexpr std::size_t list_bytes = 400000;

absl::Time at(absl::Duration time)
{
    return absl::UnixEpoch() + time;
}

/// One host of the hall that starts.
struct simulated_host
{
    bool is_dead = false;
    absl::Time lists_until = absl::InfiniteFuture(); ///< from the store
    absl::Time known_at = absl::InfiniteFuture();
    transfer_limit limit;
};

struct start_result
{
    int store_lists = 0;
    absl::Duration slowest; ///< until the last host has the list
};

// @param dead number of hosts that rank first and do not start
start_result start_hall(int size, int dead)
{
    std::mt19937 random(7); // NOLINT: the same run each time
    std::vector<simulated_host> hosts(static_cast<std::size_t>(size));
    for (int index = 0; index < dead; ++index)
    {
        hosts[static_cast<std::size_t>(index)].is_dead = true;
    }
    start_result result;
    for (auto waited = absl::ZeroDuration(); waited < absl::Seconds(20);
         waited += step_time)
    {
        const auto now = at(waited);
        for (std::size_t index = 0; index < hosts.size(); ++index)
        {
            auto& host = hosts[index];
            if (host.is_dead || host.known_at != absl::InfiniteFuture())
            {
                continue;
            }
            const catching_up_host view{waited > absl::Milliseconds(100), false,
                                        index};
            switch (next_catch_up_step(view, waited))
            {
            case catch_up_step::read_from_store:
                ++result.store_lists;
                host.known_at = now + store_list_time;
                break;
            case catch_up_step::fetch_from_peer:
            {
                std::uniform_real_distribution<double> uniform;
                auto& peer =
                    hosts[catch_up_source(hosts.size(), uniform(random))];
                if (!peer.is_dead && peer.known_at <= now &&
                    peer.limit.accept(list_bytes, now))
                {
                    host.known_at = now + transfer_time;
                }
                break;
            }
            case catch_up_step::wait:
                break;
            }
        }
    }
    for (const auto& host : hosts)
    {
        if (!host.is_dead)
        {
            result.slowest = std::max(result.slowest, host.known_at - at({}));
        }
    }
    return result;
}

// A store that sends 80 MB a second serves this number for each of five halls
// within four seconds, and twice the number within eight: both well within the
// eighteen seconds in which a fleet has to serve again.
constexpr int max_store_lists = 16;

class catch_up : public testing::TestWithParam<int>
{
};

TEST_P(catch_up, few_hosts_of_a_hall_list_the_store)
{
    const auto result = start_hall(GetParam(), 0);
    EXPECT_LE(result.store_lists, max_store_lists);
    EXPECT_LE(result.slowest, absl::Seconds(4));
}

TEST_P(catch_up, other_hosts_take_over_from_lost_readers)
{
    const auto result = start_hall(GetParam(), 4);
    EXPECT_LE(result.store_lists, 2 * max_store_lists);
    EXPECT_LE(result.slowest, absl::Seconds(8));
}

INSTANTIATE_TEST_SUITE_P(halls, catch_up, testing::Values(55, 197, 394));

TEST(catch_up_steps, a_small_fleet_lists_the_store)
{
    const catching_up_host small{true, true, 5};
    EXPECT_EQ(next_catch_up_step(small, absl::ZeroDuration()),
              catch_up_step::read_from_store);
}

TEST(catch_up_steps, a_host_without_a_list_of_hosts_waits_for_a_second)
{
    const catching_up_host unknown;
    EXPECT_EQ(next_catch_up_step(unknown, absl::Milliseconds(900)),
              catch_up_step::wait);
    EXPECT_EQ(next_catch_up_step(unknown, absl::Seconds(1)),
              catch_up_step::read_from_store);
}

TEST(catch_up_steps, each_host_lists_the_store_within_five_seconds)
{
    const catching_up_host last{true, false, 100000};
    EXPECT_EQ(next_catch_up_step(last, absl::Seconds(5)),
              catch_up_step::read_from_store);
}

} // namespace
} // namespace daleshelf
