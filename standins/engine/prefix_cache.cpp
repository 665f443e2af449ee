#include "prefix_cache.hpp"

#include <absl/time/clock.h>

#include <base/digest.hpp>

namespace daleshelf::standin
{

std::vector<std::uint64_t> block_hashes(const std::vector<std::string>& tokens)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain = 0;
    std::int64_t count = 0;
    for (const auto& token : tokens)
    {
        chain = stable_hash(token, chain);
        if (++count % block_tokens == 0)
        {
            hashes.push_back(chain);
        }
    }
    return hashes;
}

prefix_cache::prefix_cache(std::size_t capacity) : m_capacity(capacity) {}

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& blocks)
{
    std::size_t count = 0;
    for (const auto block : blocks)
    {
        const auto found = m_entries.find(block);
        if (found == m_entries.end())
        {
            break;
        }
        m_by_use.splice(m_by_use.end(), m_by_use, found->second);
        ++count;
    }
    return count;
}

void prefix_cache::store(const std::vector<std::uint64_t>& blocks)
{
    for (const auto block : blocks)
    {
        const auto found = m_entries.find(block);
        if (found != m_entries.end())
        {
            m_by_use.splice(m_by_use.end(), m_by_use, found->second);
            continue;
        }
        m_entries[block] = m_by_use.insert(m_by_use.end(), block);
        publish(true, block);
        if (m_entries.size() <= m_capacity)
        {
            continue;
        }
        const auto oldest = m_by_use.front();
        m_by_use.pop_front();
        m_entries.erase(oldest);
        publish(false, oldest);
    }
}

void prefix_cache::publish(bool is_stored, std::uint64_t block)
{
    constexpr std::size_t kept_events = 100000;
    m_events.push_back({++m_last_event, is_stored, block, absl::Now()});
    if (m_events.size() > kept_events)
    {
        m_events.pop_front();
    }
}

} // namespace daleshelf::standin
