/// @file
/// How much of the memory for requests one of them may fill.
#pragma once

#include <cstddef>

namespace daleshelf
{

/// Requests that hold at most this may fill the memory for requests; larger
/// ones leave a quarter of it.
inline constexpr std::size_t small_request_bytes = 131072;

/// @param total bytes that all requests may hold together
/// @param request_bytes what one of them is to hold
/// @return the bytes up to which that request may fill the memory
[[nodiscard]] constexpr std::size_t
request_memory_limit(std::size_t total, std::size_t request_bytes)
{
    return request_bytes <= small_request_bytes ? total : total - total / 4;
}

} // namespace daleshelf
