#include <gtest/gtest.h>

#include <random>
#include <rollouts/canary_analysis.hpp>

namespace daleshelf
{
namespace
{

// One update a quarter second; 160 requests a second, of which one in twenty
// goes to the target, as on the users' site of 70 hosts.
constexpr double target_share = 0.05;
constexpr int requests_an_update = 40;
constexpr int updates = 52;

/// How a version answers.
struct behaviour
{
    double failures = 0.005;
    double slow = 0;     ///< part of the answers that take four times as long
    int from_update = 0; ///< the rest holds from then on
    std::string route;   ///< on which alone; empty: on all
};

class trial
{
public:
    trial(behaviour old_version, behaviour target, std::uint32_t seed)
        : m_old(std::move(old_version))
        , m_target(std::move(target))
        , m_random(seed)
    {
    }

    /// @return the update at which the target was proved bad; -1: never
    int play()
    {
        for (int update = 0; update < updates; ++update)
        {
            for (int number = 0; number < requests_an_update; ++number)
            {
                request(update);
            }
            judge.update(m_seen);
            if (judge.verdict().is_bad)
            {
                return update;
            }
        }
        return -1;
    }

    canary_analysis judge;

    [[nodiscard]] double bad_answers() const
    {
        return m_bad;
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
        response_sample seen;
        seen.is_failure = random() < (is_bad ? how.failures : 0.005);
        const bool is_slow = is_bad && random() < how.slow;
        std::lognormal_distribution<double> time(4.5, 0.5);
        seen.first = time(m_random) * (is_slow ? 4 : 1);
        seen.gap_ms = 20 + random() * 10;
        if (is_target && (seen.is_failure || is_slow))
        {
            m_bad += 1;
        }
        auto& tallies = is_target ? m_seen.target : m_seen.old_version;
        ++(is_target ? m_seen.sent_target : m_seen.sent_old);
        tallies[route].add(seen);
    }

    behaviour m_old;
    behaviour m_target;
    std::mt19937 m_random;
    rollout_statistics m_seen;
    double m_bad = 0;
};

constexpr std::uint32_t seeds = 400;

TEST(canary_analysis, a_good_version_is_hardly_ever_condemned)
{
    int condemned = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        condemned += trial({}, {}, seed).play() >= 0 ? 1 : 0;
    }
    EXPECT_LE(condemned, 2); // one in 200
}

// All servers fail four in ten of their requests for a while.
TEST(canary_analysis, trouble_of_both_versions_condemns_neither)
{
    const behaviour grey{0.4, 0.3, 20, ""};
    int condemned = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        condemned += trial(grey, grey, seed).play() >= 0 ? 1 : 0;
    }
    EXPECT_LE(condemned, 8); // one in fifty
}

TEST(canary_analysis, a_bad_version_is_found_before_fifty_bad_answers)
{
    const std::vector<behaviour> kinds{
        {0.3, 0, 0, ""},    {0.5, 0, 0, ""}, {0.005, 0.5, 0, ""},
        {0.3, 0, 24, ""},   {1, 0, 24, ""},  {0.005, 0.6, 20, ""},
        {0.6, 0, 0, "long"}};
    for (const auto& kind : kinds)
    {
        int found = 0;
        double most_bad = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            trial played({}, kind, seed);
            found += played.play() >= 0 ? 1 : 0;
            most_bad = std::max(most_bad, played.bad_answers());
        }
        EXPECT_GE(found, seeds * 0.98)
            << "failures " << kind.failures << ", slow " << kind.slow
            << ", from " << kind.from_update << ", route " << kind.route;
        EXPECT_LT(most_bad, 50);
    }
}

TEST(canary_analysis, says_what_condemned_a_version)
{
    trial played({}, {0.9, 0, 0, "long"}, 1);
    ASSERT_GE(played.play(), 0);
    EXPECT_NE(played.judge.verdict().proof.find("failures"), std::string::npos);
}

} // namespace
} // namespace daleshelf
