#include "request_memory.hpp"

#include "request_memory_share.hpp"

#include <base/request_memory_limit.hpp>

namespace daleshelf
{

bool request_memory::resize(request_memory_share& share, std::size_t bytes,
                            absl::Time now)
{
    const auto held_before = share.m_bytes;
    // The request competes with the size that it is to have.
    m_held = m_held - held_before + bytes;
    share.m_bytes = bytes;
    const auto limit = request_memory_limit(m_limit, bytes);
    while (bytes > held_before && m_held > limit)
    {
        auto* victim = costliest(now);
        if (victim == nullptr || victim == &share)
        {
            m_held = m_held - bytes + held_before;
            share.m_bytes = held_before;
            return false;
        }
        victim->release();
        victim->m_shed();
    }
    share.m_progressed_at = now;
    return true;
}

// @return the unfinished request of the highest cost, or null
request_memory_share* request_memory::costliest(absl::Time now) const
{
    request_memory_share* found = nullptr;
    for (auto* share : m_unfinished)
    {
        if (share->m_bytes == 0)
        {
            continue;
        }
        if (found == nullptr || share->cost(now) > found->cost(now))
        {
            found = share;
        }
    }
    return found;
}

} // namespace daleshelf
