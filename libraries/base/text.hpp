/// @file
/// Small operations on text views.
#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// @return the text without spaces and tabs at its ends
[[nodiscard]] std::string_view trim(std::string_view text);

/// @return the text with ASCII letters in lower case
[[nodiscard]] std::string to_lower(std::string_view text);

/// @return whether the texts are the same but for the case of ASCII letters
[[nodiscard]] bool equals_ignoring_case(std::string_view left,
                                        std::string_view right);

/// @return the parts between separators, empty ones included
[[nodiscard]] std::vector<std::string_view> split(std::string_view text,
                                                  char separator);

/// @return the whole number that the whole text is, or nothing
[[nodiscard]] std::optional<std::int64_t> parse_integer(std::string_view text);

/// @return whether the text is not empty and consists of visible ASCII
/// characters, so that it can be a word of a request's head or of a log line
[[nodiscard]] bool is_visible_ascii(std::string_view text);

/// @return whether the text is well-formed UTF-8
[[nodiscard]] bool is_valid_utf8(std::string_view text);

/// @return the text for a query: all but unreserved characters as %XX
[[nodiscard]] std::string percent_encode(std::string_view text);

/// @return the digits of a size, in base 16
[[nodiscard]] std::string to_hexadecimal(std::size_t value);

/// Empties a text and frees its memory. An assignment of an empty text would
/// keep the capacity.
inline void release_memory(std::string& text)
{
    std::string().swap(text);
}

/// Appends one part after the other.
template <typename... Parts>
void append_text(std::string& out, const Parts&... parts)
{
    const auto add = [&out](const auto& part)
    {
        using part_type = std::decay_t<decltype(part)>;
        if constexpr (std::integral<part_type> &&
                      !std::same_as<part_type, char>)
        {
            out += std::to_string(part);
        }
        else
        {
            out += part;
        }
    };
    (add(parts), ...);
}

/// @return the parts, one after the other
template <typename... Parts>
[[nodiscard]] std::string concat(const Parts&... parts)
{
    std::string out;
    append_text(out, parts...);
    return out;
}

} // namespace daleshelf
