/// @file
/// What gateways tell of one usage window when they are asked.
#pragma once

#include "count_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// A question for the counts of one window, or the answer to it.
struct window_counts
{
    counting_start from; ///< who asks or tells
    std::int64_t window = 0;
    bool is_question = false;
    /// By the start that counted.
    std::map<counting_start, tenant_counts> counts;
};

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const window_counts& told);

/// @return what was sent, or nothing if the bytes are no such datagram
[[nodiscard]] std::optional<window_counts>
decode_window_counts(std::string_view bytes);

} // namespace daleshelf
