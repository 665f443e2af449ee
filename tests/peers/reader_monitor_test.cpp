// Loss of the readers of a hall. Guards against all hosts calling the store at
// once: 985 hosts that each read the records of 10,000 upstreams made the store
// too slow for the readers as well, and none of them read anything for 20 s.
#include <gtest/gtest.h>

#include <peers/reader_monitor.hpp>

namespace daleshelf
{
namespace
{

const host_id first("first");
const host_id second("second");

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

TEST(reader_monitor, suspects_a_reader_that_does_not_report)
{
    reader_monitor monitor;
    for (double time = 0; time <= 1.3; time += 0.25)
    {
        monitor.update({first, second}, at(time));
        monitor.record_report(second, at(time));
    }
    EXPECT_FALSE(monitor.is_suspected(first, at(1.3)));
    monitor.update({first, second}, at(1.5));
    EXPECT_TRUE(monitor.is_suspected(first, at(1.5)));
    EXPECT_FALSE(monitor.is_suspected(second, at(1.5)));
}

TEST(reader_monitor, trusts_a_suspected_reader_that_reports)
{
    reader_monitor monitor;
    monitor.update({first}, at(0));
    monitor.update({first}, at(2));
    ASSERT_TRUE(monitor.is_suspected(first, at(2)));
    monitor.record_report(first, at(2.1));
    EXPECT_FALSE(monitor.is_suspected(first, at(2.1)));
    monitor.update({first}, at(2.2));
    EXPECT_FALSE(monitor.is_suspected(first, at(2.2)));
}

TEST(reader_monitor, tries_a_suspected_reader_again_later)
{
    reader_monitor monitor;
    monitor.update({first}, at(0));
    monitor.update({first}, at(2));
    ASSERT_TRUE(monitor.is_suspected(first, at(11)));
    EXPECT_FALSE(monitor.is_suspected(first, at(12.5)));
    // It has the whole time again before it is suspected.
    monitor.update({first}, at(12.5));
    EXPECT_FALSE(monitor.is_suspected(first, at(12.5)));
}

// While no reader reports, the hosts of a hall call one after the other; those
// that read in place of the lost readers report within 0.5 s.
TEST(store_fallback_delay, bounds_the_hosts_that_call_at_once)
{
    for (const std::size_t hall : {55, 197, 394})
    {
        std::size_t early = 0;
        for (std::size_t position = 0; position < hall; ++position)
        {
            early += store_fallback_delay(position) < absl::Seconds(2) ? 1 : 0;
        }
        EXPECT_LE(early, 32U) << hall;
        EXPECT_LE(store_fallback_delay(hall), absl::Seconds(4)) << hall;
    }
}

} // namespace
} // namespace daleshelf
