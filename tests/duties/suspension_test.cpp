// Guards against a lease clock that stops while its host is suspended. A holder
// that is suspended for longer than the lease lasts would resume in the belief
// that it still holds the lease, although another host has acquired it.
#include "simulated_host.hpp"

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
    stops_during_suspensions,
};

/// One host with its own clock.
struct suspended_host
{
    suspended_host(shared_log& log, const std::string& name) : host(log, name)
    {
    }

    [[nodiscard]] absl::Time time(double now, clock_kind clock) const
    {
        return at(clock == clock_kind::stops_during_suspensions
                      ? now - suspended_seconds
                      : now);
    }

    simulated_host host;
    double resumes_at = 0; ///< end of the suspension
    double suspended_seconds = 0;
};

/// Lets three hosts tick and suspends them, as drawn from the seed.
/// @return the number of steps at which more than one host believed that it
/// held the lease
int count_double_holders(unsigned seed, clock_kind clock)
{
    std::mt19937 random(seed);
    const auto below = [&](int limit)
    { return std::uniform_int_distribution<int>(0, limit - 1)(random); };
    constexpr std::array suspensions{0.1, 2.0, 10.0};
    shared_log log;
    std::vector<std::unique_ptr<suspended_host>> hosts;
    for (const auto* name : {"1", "2", "3"})
    {
        hosts.push_back(std::make_unique<suspended_host>(log, name));
    }
    int count = 0;
    double now = 1;
    for (int step = 0; step < 600; ++step)
    {
        now += below(300) / 1000.0;
        auto& one = *hosts[static_cast<std::size_t>(below(3))];
        if (one.resumes_at <= now && below(20) == 0)
        {
            const auto time =
                suspensions.at(static_cast<std::size_t>(below(3)));
            one.resumes_at = now + time;
            one.suspended_seconds += time;
        }
        int holders = 0;
        for (auto& each : hosts)
        {
            const auto time = each->time(now, clock);
            const bool is_running = each->resumes_at <= now;
            holders += is_running && each->host.ledger.token(time) ? 1 : 0;
        }
        count += holders > 1 ? 1 : 0;
        if (one.resumes_at <= now)
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
        EXPECT_EQ(count_double_holders(seed, clock_kind::counts_suspensions), 0)
            << seed;
    }
}

TEST(lease_suspension, two_hold_it_by_a_clock_that_stops_during_suspensions)
{
    int count = 0;
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        count +=
            count_double_holders(seed, clock_kind::stops_during_suspensions);
    }
    EXPECT_GT(count, 0) << "the test above cannot fail";
}

} // namespace
} // namespace daleshelf
