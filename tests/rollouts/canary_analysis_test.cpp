#include <gtest/gtest.h>

#include <random>
#include <rollouts/canary_analysis.hpp>

namespace daleshelf
{
namespace
{

// An update every quarter second and 160 requests a second, of which one in
// twenty goes to the target, as in an installation of 70 hosts.
constexpr double target_share = 0.05;
constexpr int requests_per_update = 40;
constexpr int updates = 52;

/// How a version responds.
struct behaviour
{
    double failure_rate = 0.005;
    double slow_rate = 0; ///< part that takes four times as long
    int from_update = 0;  ///< the rates above apply from then on
    std::string route;    ///< the only affected route; empty: all
};

class simulation
{
public:
    simulation(behaviour old_version, behaviour target, std::uint32_t seed)
        : m_old(std::move(old_version))
        , m_target(std::move(target))
        , m_random(seed)
    {
    }

    /// @return the update at which the target was found bad; -1: never
    int run()
    {
        for (int update = 0; update < updates; ++update)
        {
            for (int number = 0; number < requests_per_update; ++number)
            {
                request(update);
            }
            analysis.update(m_statistics);
            if (analysis.verdict().is_bad)
            {
                return update;
            }
        }
        return -1;
    }

    canary_analysis analysis;

    [[nodiscard]] double bad_responses() const
    {
        return m_bad_responses;
    }

private:
    double random()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void request(int update)
    {
        const auto* const route =
            random() < 0.5 ? "long" : (random() < 0.7 ? "short" : "rare");
        const bool is_target = random() < target_share;
        const auto& how = is_target ? m_target : m_old;
        const bool is_bad = update >= how.from_update &&
                            (how.route.empty() || how.route == route);
        response_sample sample;
        sample.is_failure = random() < (is_bad ? how.failure_rate : 0.005);
        const bool is_slow = is_bad && random() < how.slow_rate;
        std::lognormal_distribution<double> time(4.5, 0.5);
        sample.first_latency = time(m_random) * (is_slow ? 4 : 1);
        sample.gap_ms = 20 + random() * 10;
        if (is_target && (sample.is_failure || is_slow))
        {
            m_bad_responses += 1;
        }
        auto& by_route =
            is_target ? m_statistics.target : m_statistics.old_version;
        ++(is_target ? m_statistics.sent_target : m_statistics.sent_old);
        by_route[route].add(sample);
    }

    behaviour m_old;
    behaviour m_target;
    std::mt19937 m_random;
    rollout_statistics m_statistics;
    double m_bad_responses = 0;
};

constexpr std::uint32_t seeds = 400;

TEST(canary_analysis, a_good_version_is_rarely_found_bad)
{
    int detected = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        detected += simulation({}, {}, seed).run() >= 0 ? 1 : 0;
    }
    EXPECT_LE(detected, 2); // one in 200
}

// From update 20 on, four in ten responses of both versions fail, and three in
// ten are slow.
TEST(canary_analysis, faults_of_both_versions_are_not_attributed_to_the_target)
{
    const behaviour degraded{0.4, 0.3, 20, ""};
    int detected = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        detected += simulation(degraded, degraded, seed).run() >= 0 ? 1 : 0;
    }
    EXPECT_LE(detected, 8); // one in fifty
}

TEST(canary_analysis, a_bad_version_is_detected_before_fifty_bad_responses)
{
    const std::vector<behaviour> behaviours{
        {0.3, 0, 0, ""},    {0.5, 0, 0, ""}, {0.005, 0.5, 0, ""},
        {0.3, 0, 24, ""},   {1, 0, 24, ""},  {0.005, 0.6, 20, ""},
        {0.6, 0, 0, "long"}};
    for (const auto& kind : behaviours)
    {
        int detected_count = 0;
        double max_bad_responses = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            simulation simulated({}, kind, seed);
            detected_count += simulated.run() >= 0 ? 1 : 0;
            max_bad_responses =
                std::max(max_bad_responses, simulated.bad_responses());
        }
        EXPECT_GE(detected_count, seeds * 0.98)
            << "failures " << kind.failure_rate << ", slow " << kind.slow_rate
            << ", from " << kind.from_update << ", route " << kind.route;
        EXPECT_LT(max_bad_responses, 50);
    }
}

TEST(canary_analysis, reports_the_test_that_detected_a_bad_version)
{
    simulation simulated({}, {0.9, 0, 0, "long"}, 1);
    ASSERT_GE(simulated.run(), 0);
    EXPECT_NE(simulated.analysis.verdict().evidence.find("failures"),
              std::string::npos);
}

} // namespace
} // namespace daleshelf
