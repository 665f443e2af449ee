#include <gtest/gtest.h>

#include <peers/datagram_format.hpp>
#include <peers/window_counts.hpp>

namespace daleshelf
{
namespace
{

const workspace_id studio("studio");

TEST(window_counts, survive_their_encoding)
{
    window_counts report;
    report.from = {host_id("2"), incarnation(5)};
    report.window = 7;
    report.counts = {{{host_id("2"), incarnation(5)}, {{studio, 3}}},
                     {{host_id("3"), incarnation(1)}, {{studio, 9}}}};
    const auto bytes = encode(report);
    EXPECT_EQ(format_of(bytes), datagram_format::counts);
    const auto read = decode_window_counts(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->from, report.from);
    EXPECT_EQ(read->window, 7);
    EXPECT_FALSE(read->is_request);
    EXPECT_EQ(read->counts, report.counts);
}

// A host that starts 14 requests per second, for 30 workspaces within a window,
// and relays as many incarnations as a response can hold. At this size, 64
// simultaneous responses take 0.24 s on a link of 5 Mbit/s.
TEST(window_counts, an_answer_is_small)
{
    window_counts report;
    report.from = {host_id("edge-sala-palermo-12"), incarnation(1791000000000)};
    report.window = 358200000;
    for (int index = 0; index < 5; ++index)
    {
        auto& counts = report.counts[{host_id("edge-sala-palermo-12"),
                                      incarnation(1791000000000 + index)}];
        for (int tenant = 0; tenant < 30; ++tenant)
        {
            counts[workspace_id("tenant" + std::to_string(tenant))] = 3;
        }
    }
    constexpr std::size_t max_bytes = 2300;
    EXPECT_LT(encode(report).size(), max_bytes);
}

} // namespace
} // namespace daleshelf
