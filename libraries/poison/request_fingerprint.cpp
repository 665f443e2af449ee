#include "request_fingerprint.hpp"

#include <base/digest.hpp>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

// 128 bits: finding two contents that share them is infeasible.
constexpr std::size_t fingerprint_digits = 32;

// Prefixes each part with its length, so that the encoding is unambiguous.
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

// The head of a request begins with a length, never with this.
std::string head_of(const prompt_part_content& content)
{
    const std::string_view service = content.service.value();
    return concat("part:", service.size(), ":", service, content.part);
}

} // namespace

request_shape shape_of(const request_content& content)
{
    return stable_hash(head_of(content));
}

request_shape shape_of(const prompt_part_content& content)
{
    return stable_hash(head_of(content));
}

request_fingerprint fingerprint_of(const prompt_part_content& content)
{
    return request_fingerprint(
        sha256_hex(head_of(content)).substr(0, fingerprint_digits));
}

request_fingerprint fingerprint_of(const request_content& content)
{
    auto bytes = head_of(content);
    bytes += content.body;
    return request_fingerprint(sha256_hex(bytes).substr(0, fingerprint_digits));
}

} // namespace daleshelf
