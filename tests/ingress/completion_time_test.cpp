#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ingress/completion_time.hpp>
#include <vector>

namespace daleshelf
{
namespace
{

TEST(completion_time, is_unknown_before_the_first_request)
{
    EXPECT_FALSE(completion_time().upper_estimate());
}

TEST(completion_time, follows_a_change)
{
    completion_time times;
    for (int number = 0; number < 50; ++number)
    {
        times.observe(absl::Seconds(1));
    }
    EXPECT_EQ(times.upper_estimate(), absl::Seconds(1));
    for (int number = 0; number < 50; ++number)
    {
        times.observe(absl::Seconds(5));
    }
    EXPECT_GT(*times.upper_estimate(), absl::Seconds(4.9));
    EXPECT_LT(*times.upper_estimate(), absl::Seconds(6));
}

TEST(completion_time, covers_most_of_varying_times)
{
    completion_time times;
    int covered = 0;
    constexpr int count = 1000;
    for (int number = 0; number < count; ++number)
    {
        const auto time = absl::Milliseconds(100 + number * 37 % 900);
        covered += number > 0 && time <= *times.upper_estimate() ? 1 : 0;
        times.observe(time);
    }
    EXPECT_GT(covered, count * 9 / 10);
}

RC_GTEST_PROP(completion_time, lies_between_what_was_observed, ())
{
    const auto observed = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000)));
    completion_time times;
    for (const auto ms : observed)
    {
        times.observe(absl::Milliseconds(ms));
    }
    const auto [least, most] =
        std::minmax_element(observed.begin(), observed.end());
    const auto spread = absl::Milliseconds(*most - *least);
    RC_ASSERT(*times.upper_estimate() >= absl::Milliseconds(*least));
    RC_ASSERT(*times.upper_estimate() <=
              absl::Milliseconds(*most) + 2 * spread);
}

} // namespace
} // namespace daleshelf
