#include "http_syntax.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

bool is_name_character(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           marks.find(character) != std::string_view::npos;
}

bool is_value_character(char character)
{
    constexpr unsigned char last_control = 0x1f;
    constexpr unsigned char deleted = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte > last_control && byte != deleted);
}

} // namespace

bool is_field_name(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_value_character);
}

} // namespace daleshelf
