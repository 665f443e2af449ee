#include "origin_message.hpp"

#include "generated/streams.pb.h"

#include <algorithm>

namespace daleshelf
{

namespace
{

// See peers/datagram_format.hpp.
constexpr std::uint32_t origins_format = 9;
// Hosts send no more origins in a datagram: a longer one is rejected.
constexpr int max_origins = 256;

} // namespace

std::string encode(const origin_message& message)
{
    wire::StreamOrigins out;
    out.set_format(origins_format);
    out.set_question(message.question);
    out.set_is_reply(message.is_reply);
    out.set_has_sole_version(message.sole_version.has_value());
    out.set_list_offset(message.list_offset.value());
    if (message.sole_version)
    {
        out.set_sole_version(message.sole_version->value());
    }
    for (const auto& [origin, keep_time] : message.origins)
    {
        auto& item = *out.add_origins();
        item.set_attempt(origin.attempt.value());
        item.set_service(origin.service.value());
        item.set_version(origin.version.value());
        item.set_keep_ms(absl::ToInt64Milliseconds(keep_time));
    }
    return out.SerializeAsString();
}

std::optional<origin_message> decode_origins(std::string_view bytes)
{
    wire::StreamOrigins in;
    const bool is_valid =
        in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
        in.format() == origins_format && in.origins_size() <= max_origins &&
        in.question() >= 0 && in.list_offset() >= 0;
    if (!is_valid)
    {
        return std::nullopt;
    }
    origin_message message;
    message.question = in.question();
    message.is_reply = in.is_reply();
    message.list_offset = log_offset(in.list_offset());
    if (in.has_sole_version())
    {
        message.sole_version = version_name(in.sole_version());
    }
    for (const auto& item : in.origins())
    {
        const auto keep_ms = std::clamp<std::int64_t>(
            item.keep_ms(), 0, absl::ToInt64Milliseconds(max_resumable_time));
        message.origins.push_back(
            {{request_id(item.attempt()), service_name(item.service()),
              version_name(item.version())},
             absl::Milliseconds(keep_ms)});
    }
    return message;
}

} // namespace daleshelf
