#include <gtest/gtest.h>

#include <peers/peer_table.hpp>

namespace daleshelf
{
namespace
{

// As the fleet that restarted in turn: 70 hosts, of which 40 had ended, 16
// workspaces, five windows of counts at each.
constexpr int ended_hosts = 40;
constexpr int workspaces = 16;
constexpr int windows = 5;
// A host sends 32 states a second: a tenth of a link of 10 Mbit/s.
constexpr std::size_t largest_state = 3900;

counts_by_window counts_of_a_start()
{
    counts_by_window counts;
    for (int window = 0; window < windows; ++window)
    {
        for (int number = 0; number < workspaces; ++number)
        {
            const workspace_id name("leny" + std::to_string(9000 + number));
            counts[357'000'000 + window][name] = 40;
        }
    }
    return counts;
}

machine_state state_of(const std::string& name, std::int64_t started)
{
    machine_state state;
    state.self = {host_id(name), name + ":1"};
    state.started = incarnation(started);
    state.sequence = 1;
    state.counts = counts_of_a_start();
    return state;
}

TEST(state_size, stays_small_however_many_starts_have_ended)
{
    peer_table table({host_id("self"), "self:1"}, incarnation(1), {});
    for (int number = 0; number < ended_hosts; ++number)
    {
        const auto name = "edge-sala-vicente-" + std::to_string(number);
        const auto first = 1'784'000'000'000;
        ASSERT_TRUE(
            table.receive(state_of(name, first), absl::UnixEpoch()).is_news);
        ASSERT_TRUE(table.receive(state_of(name, first + 1), absl::UnixEpoch())
                        .is_news);
    }
    auto own = state_of("edge-sala-vicente-77", 1);
    own.counts = table.newest_windows(own.counts);
    own.ended_counts = table.ended_counts(incarnation(1));
    EXPECT_FALSE(own.ended_counts.empty());
    EXPECT_LE(encode(own).size(), largest_state);
}

// What has been settled need not be told on.
TEST(state_size, old_windows_are_left_out)
{
    peer_table table({host_id("self"), "self:1"}, incarnation(1), {});
    ASSERT_TRUE(table.receive(state_of("a", 1), absl::UnixEpoch()).is_news);
    const auto told = table.newest_windows(counts_of_a_start());
    ASSERT_EQ(told.size(), 3);
    EXPECT_EQ(told.rbegin()->first, 357'000'004);
}

} // namespace
} // namespace daleshelf
