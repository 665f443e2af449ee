/// @file
/// Estimate of the prompt prefixes that an upstream has cached.
#pragma once

#include "request_facts.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <list>

namespace daleshelf
{

/// This host's estimate of the prefix cache of one upstream: an LRU cache of
/// the prompt parts that this host has sent there.
class prefix_cache_estimate
{
public:
    /// @param capacity of the upstream's cache, in tokens
    explicit prefix_cache_estimate(std::int64_t capacity);

    /// @return number of tokens of the prompt's longest cached prefix
    [[nodiscard]] std::int64_t
    cached_tokens(const std::vector<prompt_part>& prompt) const;

    /// Adds the parts of a prompt that the upstream prefills, or marks them as
    /// most recently used, and evicts parts beyond the capacity.
    void add_prompt(const std::vector<prompt_part>& prompt);

private:
    struct cached_part
    {
        std::string id;
        std::int64_t tokens = 0;
    };

    std::int64_t m_capacity_tokens;
    std::int64_t m_used_tokens = 0;
    std::list<cached_part> m_parts; ///< most recently used first
    absl::flat_hash_map<std::string, std::list<cached_part>::iterator> m_by_id;
};

} // namespace daleshelf
