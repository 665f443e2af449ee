#include "return_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// Bounds the memory, and the search for a free interval.
constexpr std::size_t max_reserved = 1024;
// Clients wait for a third of the time that they have left; nobody has three
// hours. Keeps times finite.
constexpr absl::Duration max_delay = absl::Hours(1);

absl::Duration limited(absl::Duration delay)
{
    return std::clamp(delay, absl::ZeroDuration(), max_delay);
}

} // namespace

absl::Duration return_schedule::reserve(const rejected_request& request,
                                        absl::Time now)
{
    // 1. Bring the inputs into their ranges.
    const auto latest = limited(request.latest);
    const auto earliest = std::min(limited(request.earliest), latest);
    const auto random = std::isfinite(request.random)
                            ? std::clamp(request.random, 0.0, 1.0)
                            : 0.5;
    const auto step = request.per_second > 0
                          ? absl::Seconds(1 / request.per_second)
                          : absl::InfiniteDuration();
    while (!m_reserved.empty() && m_reserved.begin()->second <= now)
    {
        m_reserved.erase(m_reserved.begin());
    }
    // 2. Reserve the first free interval. The time within it is random:
    // otherwise hosts that reject at the same moment give the same times.
    const auto start = first_free(now + earliest, step);
    if (step <= latest && start + step <= now + latest &&
        m_reserved.size() < max_reserved)
    {
        m_reserved.emplace(start, start + step);
        return std::min(latest, start - now + step * random);
    }
    // 3. More requests wait than can be served while their clients wait: none
    // has a claim to an early time, so they are spread evenly.
    return std::min(latest, earliest + (latest - earliest) * random);
}

// @return the first time from which nothing is reserved for a step
absl::Time return_schedule::first_free(absl::Time from,
                                       absl::Duration step) const
{
    auto free = from;
    for (const auto& [start, end] : m_reserved)
    {
        if (start >= free + step)
        {
            break;
        }
        free = std::max(free, end);
    }
    return free;
}

} // namespace daleshelf
