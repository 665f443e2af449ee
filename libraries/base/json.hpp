/// @file
/// Typed access to JSON objects, with errors that name the field.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace daleshelf
{

/// A JSON text that is malformed or lacks a field of the right type.
class json_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Which strings a JSON text may contain.
enum class json_strings
{
    utf8,      ///< well-formed UTF-8
    any_bytes, ///< any bytes but control characters
};

/// @param text JSON text that must be an object
/// @return the object
/// @throws json_error if the text is not a JSON object
[[nodiscard]] boost::json::object
parse_object(std::string_view text, json_strings strings = json_strings::utf8);

/// @return the field's text, or nothing if the field is absent
/// @throws json_error if the field is not a string
[[nodiscard]] std::optional<std::string>
find_string(const boost::json::object& object, std::string_view key);

/// @return the field's number, or nothing if the field is absent
/// @throws json_error if the field is not a whole number
[[nodiscard]] std::optional<std::int64_t>
find_integer(const boost::json::object& object, std::string_view key);

/// @return the field's number, or nothing if the field is absent
/// @throws json_error if the field is not a number
[[nodiscard]] std::optional<double>
find_number(const boost::json::object& object, std::string_view key);

/// @return the field's truth value, or nothing if the field is absent
/// @throws json_error if the field is neither true nor false
[[nodiscard]] std::optional<bool>
find_boolean(const boost::json::object& object, std::string_view key);

/// @return the field's array, or null if the field is absent
/// @throws json_error if the field is not an array
[[nodiscard]] const boost::json::array*
find_array(const boost::json::object& object, std::string_view key);

/// @return the field's object, or null if the field is absent
/// @throws json_error if the field is not an object
[[nodiscard]] const boost::json::object*
find_object(const boost::json::object& object, std::string_view key);

/// @return the field's text
/// @throws json_error if the field is absent or not a string
[[nodiscard]] std::string require_string(const boost::json::object& object,
                                         std::string_view key);

/// @return the field's number
/// @throws json_error if the field is absent or not a whole number
[[nodiscard]] std::int64_t require_integer(const boost::json::object& object,
                                           std::string_view key);

} // namespace daleshelf
