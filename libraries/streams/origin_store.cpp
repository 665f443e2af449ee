#include "origin_store.hpp"

#include <algorithm>

namespace daleshelf
{

origin_store::origin_store(std::size_t capacity) : m_capacity(capacity) {}

void origin_store::add(const stream_origin& origin, absl::Duration keep_time,
                       absl::Time now)
{
    evict(now);
    const auto expires_at =
        now + std::clamp(keep_time, absl::ZeroDuration(), max_resumable_time);
    const auto [at, is_new] = m_origins.try_emplace(
        origin.attempt,
        known_origin{origin.service, origin.version, expires_at});
    if (is_new)
    {
        m_order.push_back(origin.attempt);
    }
}

std::optional<stream_origin> origin_store::find(const request_id& attempt,
                                                absl::Time now) const
{
    const auto known = m_origins.find(attempt);
    if (known == m_origins.end() || known->second.expires_at <= now)
    {
        return std::nullopt;
    }
    return stream_origin{attempt, known->second.service, known->second.version};
}

std::vector<kept_origin> origin_store::all(absl::Time now) const
{
    std::vector<kept_origin> kept;
    for (const auto& attempt : m_order)
    {
        const auto& known = m_origins.at(attempt);
        if (known.expires_at > now)
        {
            kept.push_back(
                {{attempt, known.service, known.version}, known.expires_at});
        }
    }
    return kept;
}

// Keep times differ, so an expired origin may wait behind one that is not; the
// capacity bounds how many do.
void origin_store::evict(absl::Time now)
{
    while (!m_order.empty() &&
           (m_order.size() >= m_capacity ||
            m_origins.at(m_order.front()).expires_at <= now))
    {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace daleshelf
