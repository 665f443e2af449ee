/// @file
/// A prefix cache of limited size, as model engines have it.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace daleshelf::standin
{

/// Tokens of one cached block.
inline constexpr std::int64_t block_tokens = 16;

/// @param tokens a prompt, perhaps with part of an answer
/// @return the hash of each whole block, chained to the blocks before it
[[nodiscard]] std::vector<std::uint64_t>
block_hashes(const std::vector<std::string>& tokens);

/// A change of the cache, as it is published.
struct cache_event
{
    std::int64_t number = 0;
    bool is_stored = true; ///< otherwise evicted
    std::uint64_t block = 0;
    absl::Time time;
};

/// Least recently used blocks go first.
class prefix_cache
{
public:
    /// @param capacity blocks held at most
    explicit prefix_cache(std::size_t capacity);

    /// @param blocks chained hashes from the start of a prompt
    /// @return how many of the leading blocks are cached; they count as used
    [[nodiscard]] std::size_t match(const std::vector<std::uint64_t>& blocks);

    /// Adds blocks or marks them as used.
    void store(const std::vector<std::uint64_t>& blocks);

    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

    /// @return the events published and still kept
    [[nodiscard]] const std::deque<cache_event>& events() const
    {
        return m_events;
    }

private:
    void publish(bool is_stored, std::uint64_t block);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_by_use; ///< the oldest first
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_entries;
    std::deque<cache_event> m_events;
    std::int64_t m_last_event = 0;
};

} // namespace daleshelf::standin
