#include "response_statistics.hpp"

#include <algorithm>

namespace daleshelf
{

void response_statistics::add(const response_sample& sample)
{
    responses += 1;
    if (sample.is_failure)
    {
        failures += 1;
        return;
    }
    if (sample.first_latency > 0)
    {
        first_latency.add(sample.first_latency);
    }
    if (sample.gap_ms > 0)
    {
        gaps.add(sample.gap_ms);
    }
}

void response_statistics::scale(double factor)
{
    responses *= factor;
    failures *= factor;
    first_latency.scale(factor);
    gaps.scale(factor);
}

response_statistics&
response_statistics::operator+=(const response_statistics& other)
{
    responses += other.responses;
    failures += other.failures;
    first_latency += other.first_latency;
    gaps += other.gaps;
    return *this;
}

response_statistics
response_statistics::since(const response_statistics& earlier) const
{
    response_statistics added;
    added.responses = std::max(0.0, responses - earlier.responses);
    added.failures = std::max(0.0, failures - earlier.failures);
    added.first_latency = first_latency.since(earlier.first_latency);
    added.gaps = gaps.since(earlier.gaps);
    return added;
}

rollout_statistics&
rollout_statistics::operator+=(const rollout_statistics& other)
{
    sent_old += other.sent_old;
    sent_target += other.sent_target;
    for (const auto& [route, statistics] : other.old_version)
    {
        old_version[route] += statistics;
    }
    for (const auto& [route, statistics] : other.target)
    {
        target[route] += statistics;
    }
    return *this;
}

} // namespace daleshelf
