/// @file
/// Datagrams in which gateways gossip the limits of upstreams.
#pragma once

#include "limit_record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// @return the bytes of a datagram
[[nodiscard]] std::string
encode_limits(const std::vector<limit_record>& records);

/// @return the valid records, or nothing if the bytes are not such a datagram
[[nodiscard]] std::optional<std::vector<limit_record>>
decode_limits(std::string_view bytes);

} // namespace daleshelf
