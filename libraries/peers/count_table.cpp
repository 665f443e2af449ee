#include "count_table.hpp"

#include <algorithm>

namespace daleshelf
{

void count_table::merge(const host_incarnation& origin,
                        const counts_by_window& counts)
{
    for (const auto& [window, by_tenant] : counts)
    {
        m_newest = std::max(m_newest, window);
        auto& known = m_entries[origin][window];
        for (const auto& [tenant, count] : by_tenant)
        {
            auto& maximum = known[tenant];
            maximum = std::max(maximum, count);
        }
    }
}

void count_table::evict_before(std::int64_t oldest)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
    {
        auto& windows = entry->second;
        windows.erase(windows.begin(), windows.lower_bound(oldest));
        entry = windows.empty() ? m_entries.erase(entry) : std::next(entry);
    }
}

tenant_counts count_table::sum(std::int64_t window) const
{
    tenant_counts total;
    for (const auto& [origin, windows] : m_entries)
    {
        const auto found = windows.find(window);
        if (found == windows.end())
        {
            continue;
        }
        for (const auto& [tenant, count] : found->second)
        {
            total[tenant] += count;
        }
    }
    return total;
}

} // namespace daleshelf
