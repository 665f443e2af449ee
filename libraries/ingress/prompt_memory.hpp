/// @file
/// Which parts of prompts a server has read lately.
#pragma once

#include "request_facts.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <list>

namespace daleshelf
{

/// This machine's guess at one server's cache: the parts that went there,
/// those unused for longest dropped first.
class prompt_memory
{
public:
    /// @param capacity tokens that the server keeps
    explicit prompt_memory(std::int64_t capacity);

    /// @return tokens of the prompt's start that the server need not read
    [[nodiscard]] std::int64_t
    cached_tokens(const std::vector<prompt_part>& prompt) const;

    /// Notes that the server reads the prompt.
    void note(const std::vector<prompt_part>& prompt);

private:
    struct kept_part
    {
        std::string id;
        std::int64_t tokens = 0;
    };

    std::int64_t m_capacity;
    std::int64_t m_used = 0;
    std::list<kept_part> m_parts; ///< the newest first
    absl::flat_hash_map<std::string, std::list<kept_part>::iterator> m_by_id;
};

} // namespace daleshelf
