#include "limit_check.hpp"

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

/// A time span in which the upstream advertises one limit; in seconds.
struct limit_span
{
    double from = 0;
    double until = 0;
    double per_second = 0;
};

// The use of a limit counts after its first window.
std::vector<limit_span> spans_of(const limit_scenario& scenario)
{
    std::vector<limit_span> spans;
    for (std::size_t step = 0; step < scenario.steps.size(); ++step)
    {
        const bool is_last = step + 1 == scenario.steps.size();
        const auto& [at, per_second] = scenario.steps[step];
        spans.push_back(
            {at + absl::ToDoubleSeconds(rule_window),
             is_last ? scenario.seconds : scenario.steps[step + 1].at,
             per_second.value_or(0)});
    }
    return spans;
}

double use_of_limit(const limit_scenario& scenario, absl::Time start,
                    const std::vector<limit_arrival>& arrivals)
{
    double possible = 0;
    double used_total = 0;
    for (const auto& span : spans_of(scenario))
    {
        possible += span.per_second * std::max(0.0, span.until - span.from);
        const auto is_within = [&](const limit_arrival& arrival)
        {
            const auto second = absl::ToDoubleSeconds(arrival.at - start);
            return span.per_second > 0 && second >= span.from &&
                   second < span.until;
        };
        used_total += static_cast<double>(
            std::count_if(arrivals.begin(), arrivals.end(), is_within));
    }
    return possible > 0 ? used_total / possible : 0;
}

// Returns the maximum number of requests that the rule allows in a window. For
// recently changed limits the highest one counts; a newly advertised limit does
// not bind yet.
// @param end of the window
// @return the maximum; nothing if the rule does not apply
std::optional<double> max_allowed(const limit_scenario& scenario,
                                  absl::Duration end)
{
    auto highest = limit_at(scenario, end);
    if (!highest)
    {
        return std::nullopt;
    }
    for (const auto& step : scenario.steps)
    {
        const auto at = absl::Seconds(step.at);
        const bool is_recent = at > end - rule_window - rule_grace && at <= end;
        if (!is_recent)
        {
            continue;
        }
        const auto previous = limit_at(scenario, at - absl::Nanoseconds(1));
        if (!previous && end - at < rule_grace)
        {
            return std::nullopt;
        }
        highest = std::max(
            {*highest, step.per_second.value_or(0), previous.value_or(0)});
    }
    return rule_factor * *highest * absl::ToDoubleSeconds(rule_window) +
           rule_slack;
}

} // namespace

std::optional<double> limit_at(const limit_scenario& scenario,
                               absl::Duration since)
{
    std::optional<double> limit;
    for (const auto& step : scenario.steps)
    {
        if (absl::Seconds(step.at) <= since)
        {
            limit = step.per_second;
        }
    }
    return limit;
}

void check_arrivals(const limit_scenario& scenario, absl::Time start,
                    const std::vector<limit_arrival>& arrivals,
                    limit_result& result)
{
    result.max_excess = -std::numeric_limits<double>::infinity();
    std::deque<absl::Time> window;
    for (const auto& arrival : arrivals)
    {
        if (!arrival.is_counted)
        {
            continue;
        }
        window.push_back(arrival.at);
        while (arrival.at - window.front() > rule_window)
        {
            window.pop_front();
        }
        if (const auto allowed = max_allowed(scenario, arrival.at - start))
        {
            const auto count = static_cast<double>(window.size());
            result.max_excess =
                std::max(result.max_excess, count - std::floor(*allowed));
            result.max_window_use =
                std::max(result.max_window_use, count / *allowed);
        }
    }
    result.arrived = static_cast<double>(arrivals.size());
    result.used_fraction = use_of_limit(scenario, start, arrivals);
}

} // namespace daleshelf
