#include "http_message.hpp"

#include <absl/strings/str_format.h>

#include <cctype>

namespace daleshelf
{

namespace
{

std::string lookup(const absl::flat_hash_map<std::string, std::string>& values,
                   std::string_view name)
{
    const auto found = values.find(std::string(name));
    return found == values.end() ? std::string() : found->second;
}

bool is_unreserved(unsigned char letter)
{
    return std::isalnum(letter) != 0 || letter == '-' || letter == '.' ||
           letter == '_' || letter == '~';
}

} // namespace

std::string http_request::header(std::string_view name) const
{
    return lookup(headers, name);
}

std::string http_request::parameter(std::string_view name) const
{
    return lookup(query, name);
}

std::string url_decode(std::string_view target)
{
    constexpr std::size_t escape_length = 3;
    std::string decoded;
    for (std::size_t i = 0; i < target.size(); ++i)
    {
        const bool is_escape =
            target[i] == '%' && i + escape_length <= target.size() &&
            std::isxdigit(static_cast<unsigned char>(target[i + 1])) != 0 &&
            std::isxdigit(static_cast<unsigned char>(target[i + 2])) != 0;
        if (!is_escape)
        {
            decoded.push_back(target[i]);
            continue;
        }
        const std::string digits(target.substr(i + 1, 2));
        decoded.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
        i += escape_length - 1;
    }
    return decoded;
}

std::string url_encode(std::string_view value)
{
    std::string encoded;
    for (const char letter : value)
    {
        const auto byte = static_cast<unsigned char>(letter);
        if (is_unreserved(byte))
        {
            encoded.push_back(letter);
            continue;
        }
        encoded += absl::StrFormat("%%%02X", byte);
    }
    return encoded;
}

} // namespace daleshelf
