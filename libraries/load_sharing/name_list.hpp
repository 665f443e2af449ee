/// @file
/// Names on the wire, each without the part that it shares with the last.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// Bytes of the longest name that a list can hold.
inline constexpr std::size_t max_listed_name = 255;

/// @param names in strictly ascending order, none empty or longer than
/// `max_listed_name`
/// @return their front coding
[[nodiscard]] std::string
encode_names(const std::vector<std::string_view>& names);

/// @param limit highest number of names
/// @return the names, or nothing if the bytes are not the front coding of at
/// most `limit` names in strictly ascending order
[[nodiscard]] std::optional<std::vector<std::string>>
decode_names(std::string_view bytes, std::size_t limit);

} // namespace daleshelf
