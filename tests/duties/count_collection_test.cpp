#include <absl/random/random.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <duties/count_collection.hpp>
#include <random>
#include <string>

namespace daleshelf
{
namespace
{

constexpr std::int64_t window = 7;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

std::vector<host_id> make_hosts(int count)
{
    std::vector<host_id> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        hosts.emplace_back("host-" + std::to_string(number));
    }
    return hosts;
}

TEST(count_collection, queries_each_host_once_per_retry_interval)
{
    count_collection collection{collection_options()};
    collection.begin(window);
    const auto hosts = make_hosts(3);
    EXPECT_EQ(collection.take_due_hosts(hosts, at(1)).size(), 3U);
    EXPECT_TRUE(collection.take_due_hosts(hosts, at(1.2)).empty());
    collection.on_counts_received(window, hosts[0]);
    EXPECT_EQ(collection.take_due_hosts(hosts, at(1.5)).size(), 2U);
    EXPECT_FALSE(collection.is_complete(hosts));
    collection.on_counts_received(window, hosts[1]);
    collection.on_counts_received(window, hosts[2]);
    EXPECT_TRUE(collection.is_complete(hosts));
}

TEST(count_collection, ignores_counts_of_another_window)
{
    count_collection collection{collection_options()};
    collection.begin(window);
    const auto hosts = make_hosts(1);
    collection.on_counts_received(window - 1, hosts[0]);
    EXPECT_FALSE(collection.is_complete(hosts));
    collection.on_counts_received(window, hosts[0]);
    collection.begin(window + 1);
    EXPECT_FALSE(collection.is_complete(hosts));
}

/// Result of collecting a fleet's counts with four ticks a second.
struct collected_fleet
{
    double seconds = 0; ///< until all running hosts have sent their counts
    std::size_t queries = 0;
};

// @param loss_rate share of queries and of responses that are lost
// @param down_share share of hosts that are down without being detected
collected_fleet collect(int count, double loss_rate, double down_share)
{
    std::mt19937 random(1);
    const auto hosts = make_hosts(count);
    std::vector<host_id> running;
    std::vector<host_id> down;
    for (const auto& host : hosts)
    {
        const bool is_down = absl::Bernoulli(random, down_share);
        (is_down ? down : running).push_back(host);
    }
    count_collection collection{collection_options()};
    collection.begin(window);
    collected_fleet result;
    constexpr double tick = 0.25;
    constexpr double max_seconds = 60;
    while (!collection.is_complete(running) && result.seconds < max_seconds)
    {
        result.seconds += tick;
        for (const auto& queried :
             collection.take_due_hosts(hosts, at(result.seconds)))
        {
            ++result.queries;
            const bool is_down =
                std::find(down.begin(), down.end(), queried) != down.end();
            if (!is_down && !absl::Bernoulli(random, 2 * loss_rate))
            {
                collection.on_counts_received(window, queried);
            }
        }
    }
    return result;
}

// A window's report is due within ten seconds. The leaseholder may use half of
// that, less the delay after the end of the window.
TEST(count_collection, collects_from_any_fleet_within_half_the_deadline)
{
    constexpr double time_due = 4;
    for (const int count : {30, 100, 300, 580, 1000})
    {
        const auto lossless = collect(count, 0.0, 0.0);
        EXPECT_LE(lossless.seconds, time_due) << count;
        EXPECT_EQ(lossless.queries, static_cast<std::size_t>(count));
        const auto lossy = collect(count, 0.03, 0.0);
        EXPECT_LE(lossy.seconds, time_due + 1) << count;
    }
}

// Queries to hosts that are down get no response, but do not delay the queries
// to other hosts.
TEST(count_collection, hosts_that_are_down_do_not_starve_others)
{
    constexpr double time_due = 4;
    for (const int count : {30, 100, 300, 580})
    {
        const auto many_down = collect(count, 0.01, 0.55);
        EXPECT_LE(many_down.seconds, time_due) << count;
    }
}

} // namespace
} // namespace daleshelf
