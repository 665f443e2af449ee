/// @file
/// Syntax of header fields (RFC 9110, section 5).
#pragma once

#include <string_view>

namespace daleshelf
{

/// @return whether the text can be the name of a field
[[nodiscard]] bool is_field_name(std::string_view text);

/// @return whether the text can be the value of a field: it has no control
/// characters but tabs
[[nodiscard]] bool is_field_value(std::string_view text);

} // namespace daleshelf
