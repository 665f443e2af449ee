#include "prefix_memory.hpp"

namespace daleshelf
{

prefix_memory::prefix_memory(std::size_t capacity, absl::Duration life)
    : m_capacity(capacity), m_life(life)
{
}

void prefix_memory::add(std::uint64_t prefix, const upstream_id& upstream,
                        absl::Time now)
{
    const key added{prefix, upstream};
    absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(added);
    if (found != m_entries.end())
    {
        found->second.time = now;
        m_by_age.splice(m_by_age.end(), m_by_age, found->second.place);
        return;
    }
    m_entries[added] = {now, m_by_age.insert(m_by_age.end(), added)};
    if (m_entries.size() > m_capacity)
    {
        m_entries.erase(m_by_age.front());
        m_by_age.pop_front();
    }
}

bool prefix_memory::is_warm(std::uint64_t prefix, const upstream_id& upstream,
                            absl::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(key{prefix, upstream});
    return found != m_entries.end() && now - found->second.time < m_life;
}

} // namespace daleshelf
