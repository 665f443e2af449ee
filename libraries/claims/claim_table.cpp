#include "claim_table.hpp"

#include <algorithm>

namespace daleshelf
{

claim_table::claim_table(absl::Duration window) : m_window(window) {}

void claim_table::apply(const std::string& data)
{
    for (const auto& item : claims_from_record(data))
    {
        apply(item);
    }
    evict_expired();
}

void claim_table::apply(const claim& item)
{
    m_oldest = m_oldest ? m_oldest : item.time;
    // The clocks of hosts differ; the time of the table never decreases.
    m_newest = m_newest ? std::max(*m_newest, item.time) : item.time;
    const auto found = m_holders.find(item.key);
    if (item.is_release)
    {
        if (found != m_holders.end() && found->second.request == item.request)
        {
            m_holders.erase(found);
        }
        return;
    }
    if (found != m_holders.end())
    {
        return; // an earlier claim holds the key
    }
    m_holders[item.key] = item;
    m_by_age.push_back(item);
}

std::optional<claim> claim_table::find(const claim_key& key) const
{
    const auto found = m_holders.find(key);
    if (found == m_holders.end())
    {
        return std::nullopt;
    }
    return found->second;
}

void claim_table::evict_expired()
{
    // Uses only the times in the records, so that every host evicts the same
    // claims.
    while (!m_by_age.empty() && m_newest &&
           *m_newest - m_by_age.front().time > m_window)
    {
        const auto& oldest = m_by_age.front();
        const auto found = m_holders.find(oldest.key);
        if (found != m_holders.end() && found->second.request == oldest.request)
        {
            m_holders.erase(found);
        }
        m_by_age.pop_front();
    }
}

} // namespace daleshelf
