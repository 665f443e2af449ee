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

// A score from this value on marks the version as bad. The score of a good
// version reaches it once in e^9 times that it starts from zero, 1 in 8,000.
// For three tests on six routes, with about five restarts within an order, that
// is less than 1 in 80; failures of a good version are also much rarer than the
// prior assumes.
constexpr double detection_threshold = 9;
// The baseline is the old version in the last seconds, with exponential decay
// at each update. At four updates a second its half-life is 1.6 s in one
// baseline and 0.25 s in the other. Faults that affect both versions show in
// the fast one at once, and remain in the slow one until the target's slow
// responses are over as well. The lower score of the two counts.
constexpr std::array<double, 2> decay_factors{0.9, 0.5};
// The assumed rates of a version without responses, and the number of responses
// that they stand for.
constexpr double prior_responses = 20;
constexpr double prior_failure_rate = 0.02;
constexpr double prior_slow_rate = 0.1;
// By how much the rates of a bad version exceed those of the baseline, at
// least.
constexpr double failure_rate_increase = 0.25;
constexpr double slow_rate_increase = 0.3;
constexpr double max_bad_rate = 0.95;
// A response is slow if it takes longer than nine in ten responses of the old
// version and longer than twice their median.
constexpr double slow_quantile = 0.9;
constexpr int bins_beyond_median = 2;
// With fewer responses of the old version none is classified as slow.
constexpr double min_baseline_responses = 10;

// One CUSUM step: adds the log-likelihood ratio of `bad` out of `count`
// responses for a rate of `bad_rate` against one of `baseline`.
double next_score(double score, double bad, double count, double baseline,
                  double bad_rate)
{
    const auto good = count - bad;
    const auto added = bad * std::log(bad_rate / baseline) +
                       good * std::log((1 - bad_rate) / (1 - baseline));
    return std::max(0.0, score + added);
}

double next_slow_score(double score, const time_histogram& added,
                       const time_histogram& baseline)
{
    const auto baseline_count = baseline.total();
    if (baseline_count < min_baseline_responses)
    {
        return score;
    }
    const auto slow_bin = std::max(baseline.quantile(slow_quantile),
                                   baseline.quantile(0.5) + bins_beyond_median);
    const auto rate =
        (baseline.above(slow_bin) + prior_responses * prior_slow_rate) /
        (baseline_count + prior_responses);
    return next_score(score, added.above(slow_bin), added.total(), rate,
                      std::min(max_bad_rate, rate + slow_rate_increase));
}

constexpr auto infinite_score = std::numeric_limits<double>::infinity();
constexpr cusum_scores max_scores{infinite_score, infinite_score,
                                  infinite_score};

cusum_scores next_scores(const cusum_scores& previous,
                         const response_statistics& added,
                         const response_statistics& baseline)
{
    const auto rate =
        (baseline.failures + prior_responses * prior_failure_rate) /
        (baseline.responses + prior_responses);
    cusum_scores scores;
    scores.failures =
        next_score(previous.failures, added.failures, added.responses, rate,
                   std::min(max_bad_rate, rate + failure_rate_increase));
    scores.first_latency = next_slow_score(
        previous.first_latency, added.first_latency, baseline.first_latency);
    scores.gaps = next_slow_score(previous.gaps, added.gaps, baseline.gaps);
    return scores;
}

cusum_scores lower_scores(const cusum_scores& left, const cusum_scores& right)
{
    return {std::min(left.failures, right.failures),
            std::min(left.first_latency, right.first_latency),
            std::min(left.gaps, right.gaps)};
}

} // namespace

void canary_analysis::update(const rollout_statistics& statistics)
{
    response_statistics all_old;
    response_statistics all_target;
    for (const auto& [route, counts] : statistics.old_version)
    {
        all_old += counts;
    }
    for (const auto& [route, counts] : statistics.target)
    {
        all_target += counts;
        const auto old_version = statistics.old_version.find(route);
        update_route(m_routes[route],
                     old_version == statistics.old_version.end()
                         ? response_statistics()
                         : old_version->second,
                     counts);
    }
    update_route(m_routes[""], all_old, all_target);
    m_responses = all_target.responses;
}

void canary_analysis::update_route(route_state& route,
                                   const response_statistics& old_version,
                                   const response_statistics& target)
{
    const auto added = target.since(route.previous_target);
    route.previous_target = target;
    const auto old_added = old_version.since(route.previous_old);
    route.previous_old = old_version;
    cusum_scores scores = max_scores;
    for (std::size_t index = 0; index < decay_factors.size(); ++index)
    {
        auto& recent = route.recent_old.at(index);
        recent.scale(decay_factors.at(index));
        recent += old_added;
        scores = lower_scores(scores, next_scores(route.scores, added, recent));
    }
    route.scores = scores;
}

canary_verdict canary_analysis::verdict() const
{
    canary_verdict result;
    result.responses = m_responses;
    const auto compare =
        [&](const std::string& route, const char* test, double score)
    {
        if (score / detection_threshold <= result.highest_score)
        {
            return;
        }
        result.highest_score = score / detection_threshold;
        result.evidence =
            concat(test, " on ", route.empty() ? "all routes" : route);
    };
    for (const auto& [name, route] : m_routes)
    {
        compare(name, "failures", route.scores.failures);
        compare(name, "slow beginnings", route.scores.first_latency);
        compare(name, "slow events", route.scores.gaps);
    }
    result.is_bad = result.highest_score >= 1;
    return result;
}

} // namespace daleshelf
