/// @file
/// What hosts tell each other of requests that may end servers.
#pragma once

#include "poison_record.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// @param now times go as ages: clocks of hosts differ
[[nodiscard]] std::string
encode_poison(const std::vector<poison_record>& records, absl::Time now);

/// @return the records, or nothing if the bytes are none
[[nodiscard]] std::optional<std::vector<poison_record>>
decode_poison(std::string_view bytes, absl::Time now);

} // namespace daleshelf
