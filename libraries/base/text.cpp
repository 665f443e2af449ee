#include "text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <boost/locale/utf.hpp>

#include <algorithm>
#include <array>

namespace daleshelf
{

namespace
{

char lower(char letter)
{
    constexpr char distance = 'a' - 'A';
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + distance)
                                          : letter;
}

} // namespace

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lower);
    return result;
}

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char one, char two)
                      { return lower(one) == lower(two); });
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

bool is_visible_ascii(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char character)
                       { return character > ' ' && character < '\x7f'; });
}

bool is_valid_utf8(std::string_view text)
{
    using traits = boost::locale::utf::utf_traits<char>;
    for (const auto* next = text.begin(); next != text.end();)
    {
        const auto point = traits::decode(next, text.end());
        if (point == boost::locale::utf::illegal ||
            point == boost::locale::utf::incomplete)
        {
            return false;
        }
    }
    return true;
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    for (const char character : text)
    {
        if (absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
            unreserved.find(character) != std::string_view::npos)
        {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += absl::AsciiStrToUpper(
            absl::BytesToHexString(absl::string_view(&character, 1)));
    }
    return encoded;
}

std::string to_hexadecimal(std::size_t value)
{
    std::array<char, 2 * sizeof value> digits{};
    constexpr int base = 16;
    const auto result = std::to_chars(
        digits.data(), digits.data() + digits.size(), value, base);
    return {digits.data(), result.ptr};
}

} // namespace daleshelf
