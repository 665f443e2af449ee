#include "run_report.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace daleshelf::benchmark
{

namespace
{

constexpr std::int64_t tokens_per_block = 16;

double rounded(double value)
{
    constexpr double steps = 100;
    return std::round(value * steps) / steps;
}

} // namespace

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    const auto index = std::min(
        values.size() - 1,
        static_cast<std::size_t>(part * static_cast<double>(values.size())));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

bool is_in_target(const request_sample& sample, const latency_target& target)
{
    constexpr double part = 0.95;
    if (!sample.is_answered)
    {
        return false;
    }
    if (sample.is_service_call)
    {
        return sample.total_ms <= target.first_token_ms;
    }
    return sample.first_token_ms <= target.first_token_ms &&
           quantile(sample.gaps_ms, part) <= target.between_tokens_ms;
}

boost::json::object summarize(const std::vector<request_sample>& samples,
                              const latency_target& target)
{
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    std::int64_t in_target = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t moves = 0;
    for (const auto& sample : samples)
    {
        in_target += is_in_target(sample, target) ? 1 : 0;
        refused += !sample.is_answered && sample.is_refused ? 1 : 0;
        failed += !sample.is_answered && !sample.is_refused ? 1 : 0;
        moves += sample.moves;
        if (sample.is_service_call || !sample.is_answered)
        {
            continue;
        }
        first_tokens.push_back(sample.first_token_ms);
        gaps.insert(gaps.end(), sample.gaps_ms.begin(), sample.gaps_ms.end());
    }
    return {{"offered", samples.size()},
            {"in_target", in_target},
            {"refused", refused},
            {"failed", failed},
            {"moves_seen", moves},
            {"first_token_p50_ms", rounded(quantile(first_tokens, 0.5))},
            {"first_token_p95_ms", rounded(quantile(first_tokens, 0.95))},
            {"first_token_p99_ms", rounded(quantile(first_tokens, 0.99))},
            {"between_tokens_p50_ms", rounded(quantile(gaps, 0.5))},
            {"between_tokens_p95_ms", rounded(quantile(gaps, 0.95))},
            {"between_tokens_p99_ms", rounded(quantile(gaps, 0.99))}};
}

boost::json::object count_recomputed(std::vector<computed_block> blocks)
{
    std::sort(blocks.begin(), blocks.end(),
              [](const computed_block& left, const computed_block& right)
              { return left.time_us < right.time_us; });
    std::set<std::uint64_t> known;
    std::int64_t moved = 0;
    std::int64_t missed = 0;
    for (const auto& item : blocks)
    {
        if (known.insert(item.block).second)
        {
            continue;
        }
        // Attempts are numbered from 1 after the request's id.
        const auto number = item.attempt.substr(item.attempt.rfind('.') + 1);
        (number == "1" ? missed : moved) += tokens_per_block;
    }
    return {{"computed_tokens",
             static_cast<std::int64_t>(blocks.size()) * tokens_per_block},
            {"recomputed_moved_tokens", moved},
            {"recomputed_missed_tokens", missed}};
}

} // namespace daleshelf::benchmark
