#include "request_print.hpp"

#include <base/digest.hpp>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

// 128 bits: nobody finds two contents that share them.
constexpr std::size_t print_digits = 32;

// Each part goes with its length: no two contents are written alike.
std::string head_of(const request_content& content)
{
    std::string head;
    for (const std::string_view part :
         {std::string_view(content.workspace.value()), content.host,
          content.method, content.target})
    {
        append_text(head, part.size(), ":", part);
    }
    append_text(head, content.body.size(), ":");
    return head;
}

} // namespace

request_shape shape_of(const request_content& content)
{
    return stable_hash(head_of(content));
}

request_print print_of(const request_content& content)
{
    auto bytes = head_of(content);
    bytes += content.body;
    return request_print(sha256_hex(bytes).substr(0, print_digits));
}

} // namespace daleshelf
