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
    window_counts told;
    told.from = {host_id("2"), incarnation(5)};
    told.window = 7;
    told.counts = {{{host_id("2"), incarnation(5)}, {{studio, 3}}},
                   {{host_id("3"), incarnation(1)}, {{studio, 9}}}};
    const auto bytes = encode(told);
    EXPECT_EQ(format_of(bytes), datagram_format::counts);
    const auto read = decode_window_counts(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->from, told.from);
    EXPECT_EQ(read->window, 7);
    EXPECT_FALSE(read->is_question);
    EXPECT_EQ(read->counts, told.counts);
}

// A host that begins 14 requests a second, of 30 tenants within a window, after
// as many starts have ended as an answer tells: 64 answers at a time are 0.24 s
// of a link of 5 Mbit/s.
TEST(window_counts, an_answer_is_small)
{
    window_counts told;
    told.from = {host_id("edge-sala-palermo-12"), incarnation(1791000000000)};
    told.window = 358200000;
    for (int start = 0; start < 5; ++start)
    {
        auto& counts = told.counts[{host_id("edge-sala-palermo-12"),
                                    incarnation(1791000000000 + start)}];
        for (int tenant = 0; tenant < 30; ++tenant)
        {
            counts[workspace_id("tenant" + std::to_string(tenant))] = 3;
        }
    }
    constexpr std::size_t most_bytes = 2300;
    EXPECT_LT(encode(told).size(), most_bytes);
}

} // namespace
} // namespace daleshelf
