#include "message_head.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <base/text.hpp>
#include <ostream>

namespace daleshelf
{

const std::string* message_fields::find(std::string_view name) const
{
    for (const auto& field : fields)
    {
        if (same_name(field.name, name))
        {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t message_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(),
        [&](const auto& field) { return same_name(field.name, name); }));
}

bool message_fields::has_token(std::string_view name,
                               std::string_view token) const
{
    for (const auto& field : fields)
    {
        if (!same_name(field.name, name))
        {
            continue;
        }
        for (const auto part : split(field.value, ','))
        {
            if (same_name(trim(part), token))
            {
                return true;
            }
        }
    }
    return false;
}

bool is_hop_by_hop(const message_fields& fields, std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names{
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Proxy-Authenticate",
        "Proxy-Authorization"};
    const auto is_same = [&](std::string_view other)
    { return same_name(name, other); };
    return std::any_of(names.begin(), names.end(), is_same) ||
           fields.has_token("Connection", name);
}

bool keeps_connection(const message_fields& fields, int version)
{
    if (fields.has_token("Connection", "close"))
    {
        return false;
    }
    return version >= http_1_1 || fields.has_token("Connection", "keep-alive");
}

bool has_ambiguous_length(const message_fields& fields, int version)
{
    const auto codings = fields.count("Transfer-Encoding");
    const auto lengths = fields.count("Content-Length");
    if (codings + lengths > 1)
    {
        return true;
    }
    if (lengths == 1)
    {
        const auto length = trim(*fields.find("Content-Length"));
        return length.empty() ||
               length.find_first_not_of("0123456789") != std::string_view::npos;
    }
    return codings == 1 &&
           (version < http_1_1 ||
            !same_name(*fields.find("Transfer-Encoding"), "chunked"));
}

bool same_name(std::string_view left, std::string_view right)
{
    return equals_ignoring_case(left, right);
}

std::string_view reason_phrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {phrase.data(), phrase.size()};
}

} // namespace daleshelf
