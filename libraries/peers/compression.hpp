/// @file
/// Compression of record lists.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// @return the bytes as one frame of Zstandard (RFC 8878)
[[nodiscard]] std::string compress(std::string_view bytes);

/// @return the decompressed bytes, or nothing if the frame is invalid or its
/// content exceeds 16 MiB
[[nodiscard]] std::optional<std::string> decompress(std::string_view frame);

} // namespace daleshelf
