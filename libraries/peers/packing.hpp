/// @file
/// Text of many records in few bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// @return the bytes as one frame of Zstandard (RFC 8878)
[[nodiscard]] std::string pack(std::string_view bytes);

/// @return what was packed; nothing if it is no such frame, or if more than
/// 16 MB would come of it
[[nodiscard]] std::optional<std::string> unpack(std::string_view frame);

} // namespace daleshelf
