/// @file
/// Load of an upstream.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <base/identifiers.hpp>
#include <cstdint>

namespace daleshelf
{

/// Load that one host, or several, have put on an upstream.
struct server_load
{
    std::int64_t active = 0; ///< requests in flight
    /// Prompt tokens of requests that have no first event yet.
    std::int64_t unread_tokens = 0;
    /// Tokens of memory that the requests occupy at their expected end.
    std::int64_t memory_tokens = 0;

    server_load& operator+=(const server_load& other)
    {
        active += other.active;
        unread_tokens += other.unread_tokens;
        memory_tokens += other.memory_tokens;
        return *this;
    }

    server_load& operator-=(const server_load& other)
    {
        active -= other.active;
        unread_tokens -= other.unread_tokens;
        memory_tokens -= other.memory_tokens;
        return *this;
    }

    friend server_load operator+(server_load left, const server_load& right)
    {
        left += right;
        return left;
    }

    bool operator==(const server_load&) const = default;
};

/// Loads by upstream.
using server_loads = absl::flat_hash_map<upstream_id, server_load>;

} // namespace daleshelf
