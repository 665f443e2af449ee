/// @file
/// Digests and random identifiers, by libraries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace daleshelf
{

/// @param text the bytes to digest
/// @return their SHA-256 as 64 lower-case hexadecimal digits
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// @param text the bytes to hash
/// @param seed start value
/// @return their XXH3 hash; the same on every host
[[nodiscard]] std::uint64_t stable_hash(std::string_view text,
                                        std::uint64_t seed = 0);

/// @param bytes how many random bytes
/// @return that many bytes of the system's generator in hexadecimal digits
[[nodiscard]] std::string random_hex(std::size_t bytes);

/// @param value any bytes
/// @return the bytes in lower-case hexadecimal digits
[[nodiscard]] std::string to_hex(std::string_view value);

} // namespace daleshelf
