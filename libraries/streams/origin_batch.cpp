#include "origin_batch.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// What is not yet written is lost with its host.
constexpr absl::Duration shortest_interval = absl::Milliseconds(200);
constexpr absl::Duration longest_interval = absl::Seconds(5);
// Of all hosts together, as far as the longest interval allows: each write has
// a price.
constexpr double max_writes_per_second = 40;

} // namespace

absl::Duration origin_write_interval(std::size_t fleet_size)
{
    const auto shared =
        absl::Seconds(static_cast<double>(fleet_size) / max_writes_per_second);
    return std::clamp(shared, shortest_interval, longest_interval);
}

void origin_batch::add(const stream_origin& origin, absl::Duration keep_time,
                       absl::Time now)
{
    drop_expired(now);
    if (m_origins.size() >= m_capacity)
    {
        m_origins.pop_front();
    }
    m_origins.push_back({origin, now + keep_time});
}

std::vector<timed_origin> origin_batch::take(std::size_t limit, absl::Time now)
{
    std::vector<timed_origin> taken;
    while (!m_origins.empty() && taken.size() < limit)
    {
        auto& oldest = m_origins.front();
        if (oldest.expires_at > now)
        {
            taken.push_back(
                {std::move(oldest.origin), oldest.expires_at - now});
        }
        m_origins.pop_front();
    }
    return taken;
}

// Keep times differ: expired origins behind one that is kept stay for now.
void origin_batch::drop_expired(absl::Time now)
{
    while (!m_origins.empty() && m_origins.front().expires_at <= now)
    {
        m_origins.pop_front();
    }
}

void origin_batch::put_back(const std::vector<timed_origin>& origins,
                            absl::Time taken_at)
{
    for (auto origin = origins.rbegin();
         origin != origins.rend() && m_origins.size() < m_capacity; ++origin)
    {
        m_origins.push_front({origin->origin, taken_at + origin->keep_time});
    }
}

} // namespace daleshelf
