#include "response_statistics.hpp"

#include <algorithm>

namespace daleshelf
{

void response_statistics::add(const response_sample& seen)
{
    answers += 1;
    if (seen.is_failure)
    {
        failures += 1;
        return;
    }
    if (seen.first > 0)
    {
        first.add(seen.first);
    }
    if (seen.gap_ms > 0)
    {
        gaps.add(seen.gap_ms);
    }
}

void response_statistics::scale(double factor)
{
    answers *= factor;
    failures *= factor;
    first.scale(factor);
    gaps.scale(factor);
}

response_statistics&
response_statistics::operator+=(const response_statistics& other)
{
    answers += other.answers;
    failures += other.failures;
    first += other.first;
    gaps += other.gaps;
    return *this;
}

response_statistics
response_statistics::since(const response_statistics& earlier) const
{
    response_statistics news;
    news.answers = std::max(0.0, answers - earlier.answers);
    news.failures = std::max(0.0, failures - earlier.failures);
    news.first = first.since(earlier.first);
    news.gaps = gaps.since(earlier.gaps);
    return news;
}

rollout_statistics&
rollout_statistics::operator+=(const rollout_statistics& other)
{
    sent_old += other.sent_old;
    sent_target += other.sent_target;
    for (const auto& [route, tally] : other.old_version)
    {
        old_version[route] += tally;
    }
    for (const auto& [route, tally] : other.target)
    {
        target[route] += tally;
    }
    return *this;
}

} // namespace daleshelf
