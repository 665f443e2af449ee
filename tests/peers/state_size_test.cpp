#include <gtest/gtest.h>

#include <peers/peer_table.hpp>

namespace daleshelf
{
namespace
{

// A rolling restart in which 40 of 70 hosts have restarted, with 16 workspaces
// and counts of five windows for each incarnation.
constexpr int restarted_hosts = 40;
constexpr int workspaces = 16;
constexpr int windows = 5;
// At 32 states per second, this takes a tenth of a link of 10 Mbit/s.
constexpr std::size_t max_state_bytes = 3900;

counts_by_window counts_of_an_incarnation()
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

host_state state_of(const std::string& name, std::int64_t started)
{
    host_state state;
    state.self = {host_id(name), name + ":1"};
    state.started = incarnation(started);
    state.sequence = 1;
    state.counts = counts_of_an_incarnation();
    return state;
}

TEST(state_size, stays_small_however_many_starts_have_ended)
{
    peer_table table({host_id("self"), "self:1"}, incarnation(1), {});
    for (int number = 0; number < restarted_hosts; ++number)
    {
        const auto name = "edge-sala-vicente-" + std::to_string(number);
        const auto first = 1'784'000'000'000;
        ASSERT_TRUE(
            table.receive(state_of(name, first), absl::UnixEpoch()).is_newer);
        ASSERT_TRUE(table.receive(state_of(name, first + 1), absl::UnixEpoch())
                        .is_newer);
    }
    auto own = state_of("edge-sala-vicente-77", 1);
    own.counts = table.unsettled_windows(own.counts);
    own.relayed_counts = table.relayed_counts(incarnation(1));
    EXPECT_FALSE(own.relayed_counts.empty());
    EXPECT_LE(encode(own).size(), max_state_bytes);
}

// Settled counts are not sent again.
TEST(state_size, old_windows_are_left_out)
{
    peer_table table({host_id("self"), "self:1"}, incarnation(1), {});
    ASSERT_TRUE(table.receive(state_of("a", 1), absl::UnixEpoch()).is_newer);
    const auto recent = table.unsettled_windows(counts_of_an_incarnation());
    ASSERT_EQ(recent.size(), 3);
    EXPECT_EQ(recent.rbegin()->first, 357'000'004);
}

} // namespace
} // namespace daleshelf
