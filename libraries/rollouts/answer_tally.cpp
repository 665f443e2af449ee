#include "answer_tally.hpp"

#include <algorithm>

namespace daleshelf
{

void answer_tally::add(const answer_seen& seen)
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

void answer_tally::scale(double factor)
{
    answers *= factor;
    failures *= factor;
    first.scale(factor);
    gaps.scale(factor);
}

answer_tally& answer_tally::operator+=(const answer_tally& other)
{
    answers += other.answers;
    failures += other.failures;
    first += other.first;
    gaps += other.gaps;
    return *this;
}

answer_tally answer_tally::since(const answer_tally& earlier) const
{
    answer_tally news;
    news.answers = std::max(0.0, answers - earlier.answers);
    news.failures = std::max(0.0, failures - earlier.failures);
    news.first = first.since(earlier.first);
    news.gaps = gaps.since(earlier.gaps);
    return news;
}

rollout_tallies& rollout_tallies::operator+=(const rollout_tallies& other)
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
