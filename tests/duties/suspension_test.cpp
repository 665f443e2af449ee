// By a clock that stands still while its machine is suspended, a holder of the
// lease that slept for longer than the lease lasts believes that it holds it,
// beside the next one.
#include "log_machine.hpp"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <random>

namespace daleshelf
{
namespace
{

enum class clock_kind
{
    counts_suspensions,
    stands_still,
};

/// One machine with a clock of its own.
struct sleeper
{
    sleeper(shared_log& log, const std::string& name) : host(log, name) {}

    [[nodiscard]] absl::Time time(double now, clock_kind clock) const
    {
        return at(clock == clock_kind::stands_still ? now - slept : now);
    }

    machine host;
    double up_at = 0; ///< suspended until then
    double slept = 0;
};

/// Three machines tick and are suspended as the seed says.
/// @return how often two of them believed at once that they hold the lease
int times_two_held(unsigned seed, clock_kind clock)
{
    std::mt19937 random(seed);
    const auto below = [&](int most)
    { return std::uniform_int_distribution<int>(0, most - 1)(random); };
    constexpr std::array suspensions{0.1, 2.0, 10.0};
    shared_log log;
    std::vector<std::unique_ptr<sleeper>> machines;
    for (const auto* name : {"1", "2", "3"})
    {
        machines.push_back(std::make_unique<sleeper>(log, name));
    }
    int count = 0;
    double now = 1;
    for (int step = 0; step < 600; ++step)
    {
        now += below(300) / 1000.0;
        auto& one = *machines[static_cast<std::size_t>(below(3))];
        if (one.up_at <= now && below(20) == 0)
        {
            const auto time =
                suspensions.at(static_cast<std::size_t>(below(3)));
            one.up_at = now + time;
            one.slept += time;
        }
        int holders = 0;
        for (auto& each : machines)
        {
            const auto time = each->time(now, clock);
            const bool is_up = each->up_at <= now;
            holders += is_up && each->host.ledger.token(time) ? 1 : 0;
        }
        count += holders > 1 ? 1 : 0;
        if (one.up_at <= now)
        {
            one.host.tick(one.time(now, clock), below(4) == 0, below(5) == 0);
        }
    }
    return count;
}

TEST(lease_suspension, no_two_hold_it_by_a_clock_that_counts_suspensions)
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        EXPECT_EQ(times_two_held(seed, clock_kind::counts_suspensions), 0)
            << seed;
    }
}

TEST(lease_suspension, two_hold_it_by_a_clock_that_stands_still)
{
    int count = 0;
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        count += times_two_held(seed, clock_kind::stands_still);
    }
    EXPECT_GT(count, 0) << "the test above cannot fail";
}

} // namespace
} // namespace daleshelf
