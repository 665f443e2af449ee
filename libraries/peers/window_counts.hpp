/// @file
/// Request for the counts of one usage window, and the response to it.
#pragma once

#include "count_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// A request for the counts of one window, or the response to it.
struct window_counts
{
    host_incarnation from; ///< the sender
    std::int64_t window = 0;
    bool is_request = false;
    /// By the incarnation that counted.
    std::map<host_incarnation, tenant_counts> counts;
};

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const window_counts& report);

/// @return the message, or nothing if the bytes are not a valid datagram
[[nodiscard]] std::optional<window_counts>
decode_window_counts(std::string_view bytes);

} // namespace daleshelf
