#include "canary_analysis.hpp"

#include <algorithm>
#include <array>
#include <base/text.hpp>
#include <cmath>
#include <limits>

namespace daleshelf
{

namespace
{

// A sum beyond this proves a version bad: a good one reaches it once in e^9
// beginnings of a sum, 1 in 8,000; three tests on six routes, begun anew some
// five times within an order, come to less than 1 in 80, and failures of a good
// version are rarer by far than the prior says.
constexpr double proof_bound = 9;
// The old version's rates are of the last seconds. At four updates a second
// half of what was seen 1.6 s ago still counts in the one, and of 0.25 s ago in
// the other: trouble that strikes both versions shows in the second at once,
// and in the first until it is over for the target's slow answers too.
constexpr std::array<double, 2> fadings{0.9, 0.5};
// Failures and slow answers of a version that nobody has seen yet.
constexpr double prior_answers = 20;
constexpr double prior_failures = 0.02;
constexpr double prior_slow = 0.1;
// What a bad version has more of, at the least: a part of its answers.
constexpr double bad_failures = 0.25;
constexpr double bad_slow = 0.3;
constexpr double most_bad = 0.95;
// Slow is what is beyond nine in ten of the old version's answers, and beyond
// twice their median.
constexpr double usual_part = 0.9;
constexpr int bins_beyond_median = 2;
// Without so many answers of the old version nothing can be called slow.
constexpr double least_compared = 10;

// Adds what `bad` of `all` answers say for a version of which a part `worse` is
// bad in place of `usual`.
double next_sum(double sum, double bad, double all, double usual, double worse)
{
    const auto good = all - bad;
    const auto news = bad * std::log(worse / usual) +
                      good * std::log((1 - worse) / (1 - usual));
    return std::max(0.0, sum + news);
}

double next_slow_sum(double sum, const time_histogram& news,
                     const time_histogram& usual)
{
    const auto compared = usual.total();
    if (compared < least_compared)
    {
        return sum;
    }
    const auto slow = std::max(usual.quantile(usual_part),
                               usual.quantile(0.5) + bins_beyond_median);
    const auto rate = (usual.above(slow) + prior_answers * prior_slow) /
                      (compared + prior_answers);
    return next_sum(sum, news.above(slow), news.total(), rate,
                    std::min(most_bad, rate + bad_slow));
}

constexpr auto no_bound = std::numeric_limits<double>::infinity();
constexpr cusum_scores highest_sums{no_bound, no_bound, no_bound};

cusum_scores next_sums(const cusum_scores& before,
                       const response_statistics& news,
                       const response_statistics& usual)
{
    const auto rate = (usual.failures + prior_answers * prior_failures) /
                      (usual.answers + prior_answers);
    cusum_scores sums;
    sums.failures = next_sum(before.failures, news.failures, news.answers, rate,
                             std::min(most_bad, rate + bad_failures));
    sums.first = next_slow_sum(before.first, news.first, usual.first);
    sums.gaps = next_slow_sum(before.gaps, news.gaps, usual.gaps);
    return sums;
}

cusum_scores lower_of(const cusum_scores& left, const cusum_scores& right)
{
    return {std::min(left.failures, right.failures),
            std::min(left.first, right.first), std::min(left.gaps, right.gaps)};
}

} // namespace

void canary_analysis::update(const rollout_statistics& seen)
{
    response_statistics all_old;
    response_statistics all_target;
    for (const auto& [route, tally] : seen.old_version)
    {
        all_old += tally;
    }
    for (const auto& [route, tally] : seen.target)
    {
        all_target += tally;
        const auto old_version = seen.old_version.find(route);
        update_route(m_routes[route],
                     old_version == seen.old_version.end()
                         ? response_statistics()
                         : old_version->second,
                     tally);
    }
    update_route(m_routes[""], all_old, all_target);
    m_answers = all_target.answers;
}

void canary_analysis::update_route(route_state& route,
                                   const response_statistics& old_version,
                                   const response_statistics& target)
{
    const auto news = target.since(route.target_before);
    route.target_before = target;
    const auto old_news = old_version.since(route.old_before);
    route.old_before = old_version;
    cusum_scores sums = highest_sums;
    for (std::size_t memory = 0; memory < fadings.size(); ++memory)
    {
        auto& lately = route.old_lately.at(memory);
        lately.scale(fadings.at(memory));
        lately += old_news;
        sums = lower_of(sums, next_sums(route.sums, news, lately));
    }
    route.sums = sums;
}

canary_verdict canary_analysis::verdict() const
{
    canary_verdict found;
    found.answers = m_answers;
    const auto weigh =
        [&](const std::string& route, const char* test, double sum)
    {
        if (sum / proof_bound <= found.strongest)
        {
            return;
        }
        found.strongest = sum / proof_bound;
        found.proof =
            concat(test, " on ", route.empty() ? "all routes" : route);
    };
    for (const auto& [name, route] : m_routes)
    {
        weigh(name, "failures", route.sums.failures);
        weigh(name, "slow beginnings", route.sums.first);
        weigh(name, "slow events", route.sums.gaps);
    }
    found.is_bad = found.strongest >= 1;
    return found;
}

} // namespace daleshelf
