/// @file
/// Gossip of poison records between hosts.
#pragma once

#include "poison_record.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// Encodes records; times become ages, as the clocks of hosts differ.
/// @param now the present time by this host's clock
/// @return the serialized message
[[nodiscard]] std::string
encode_poison(const std::vector<poison_record>& records, absl::Time now);

/// Decodes records; their ages become times of this host's clock.
/// @param now the present time by this host's clock
/// @return the records, or nothing if the bytes are no valid message
[[nodiscard]] std::optional<std::vector<poison_record>>
decode_poison(std::string_view bytes, absl::Time now);

} // namespace daleshelf
