#include "prefix_cache_estimate.hpp"

namespace daleshelf
{

prefix_cache_estimate::prefix_cache_estimate(std::int64_t capacity)
    : m_capacity_tokens(capacity)
{
}

std::int64_t prefix_cache_estimate::cached_tokens(
    const std::vector<prompt_part>& prompt) const
{
    std::int64_t tokens = 0;
    for (const auto& part : prompt)
    {
        if (!m_by_id.contains(part.id))
        {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_cache_estimate::add_prompt(const std::vector<prompt_part>& prompt)
{
    for (const auto& part : prompt)
    {
        const auto known = m_by_id.find(part.id);
        if (known != m_by_id.end())
        {
            m_parts.splice(m_parts.begin(), m_parts, known->second);
            continue;
        }
        m_parts.push_front({part.id, part.tokens});
        m_by_id[part.id] = m_parts.begin();
        m_used_tokens += part.tokens;
    }
    while (m_used_tokens > m_capacity_tokens && !m_parts.empty())
    {
        m_used_tokens -= m_parts.back().tokens;
        m_by_id.erase(m_parts.back().id);
        m_parts.pop_back();
    }
}

} // namespace daleshelf
