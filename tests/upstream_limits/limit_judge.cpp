#include "limit_judge.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

namespace daleshelf
{

namespace
{

// The platform's rule.
constexpr absl::Duration rule_window = absl::Seconds(4);
constexpr absl::Duration rule_grace = absl::Seconds(3);
constexpr double rule_factor = 1.5;
constexpr double rule_slack = 5;

/// A span in which the upstream names one limit.
struct limit_span
{
    double from = 0;
    double until = 0;
    double per_second = 0;
};

// What is used of a limit counts once its first window is over.
std::vector<limit_span> spans_of(const limit_plan& plan)
{
    std::vector<limit_span> spans;
    for (std::size_t step = 0; step < plan.steps.size(); ++step)
    {
        const bool is_last = step + 1 == plan.steps.size();
        const auto& [at, per_second] = plan.steps[step];
        spans.push_back({at + absl::ToDoubleSeconds(rule_window),
                         is_last ? plan.seconds : plan.steps[step + 1].at,
                         per_second.value_or(0)});
    }
    return spans;
}

double part_used(const limit_plan& plan, absl::Time start,
                 const std::vector<limit_arrival>& arrivals)
{
    double possible = 0;
    double used = 0;
    for (const auto& span : spans_of(plan))
    {
        possible += span.per_second * std::max(0.0, span.until - span.from);
        const auto is_within = [&](const limit_arrival& seen)
        {
            const auto second = absl::ToDoubleSeconds(seen.at - start);
            return span.per_second > 0 && second >= span.from &&
                   second < span.until;
        };
        used += static_cast<double>(
            std::count_if(arrivals.begin(), arrivals.end(), is_within));
    }
    return possible > 0 ? used / possible : 0;
}

// Of limits that have just changed the highest counts; a limit that has just
// been named does not bind yet.
// @param end of the window
// @return what the rule allows in it; nothing: it says nothing
std::optional<double> most_allowed(const limit_plan& plan, absl::Duration end)
{
    auto most = limit_at(plan, end);
    if (!most)
    {
        return std::nullopt;
    }
    for (const auto& step : plan.steps)
    {
        const auto at = absl::Seconds(step.at);
        const bool is_recent = at > end - rule_window - rule_grace && at <= end;
        if (!is_recent)
        {
            continue;
        }
        const auto before = limit_at(plan, at - absl::Nanoseconds(1));
        if (!before && end - at < rule_grace)
        {
            return std::nullopt;
        }
        most =
            std::max({*most, step.per_second.value_or(0), before.value_or(0)});
    }
    return rule_factor * *most * absl::ToDoubleSeconds(rule_window) +
           rule_slack;
}

} // namespace

std::optional<double> limit_at(const limit_plan& plan, absl::Duration since)
{
    std::optional<double> limit;
    for (const auto& step : plan.steps)
    {
        if (absl::Seconds(step.at) <= since)
        {
            limit = step.per_second;
        }
    }
    return limit;
}

void judge_arrivals(const limit_plan& plan, absl::Time start,
                    const std::vector<limit_arrival>& arrivals,
                    limit_outcome& outcome)
{
    outcome.most_over = -std::numeric_limits<double>::infinity();
    std::deque<absl::Time> window;
    for (const auto& seen : arrivals)
    {
        if (!seen.is_told)
        {
            continue;
        }
        window.push_back(seen.at);
        while (seen.at - window.front() > rule_window)
        {
            window.pop_front();
        }
        if (const auto allowed = most_allowed(plan, seen.at - start))
        {
            const auto count = static_cast<double>(window.size());
            outcome.most_over =
                std::max(outcome.most_over, count - std::floor(*allowed));
            outcome.fullest = std::max(outcome.fullest, count / *allowed);
        }
    }
    outcome.arrived = static_cast<double>(arrivals.size());
    outcome.used = part_used(plan, start, arrivals);
}

} // namespace daleshelf
