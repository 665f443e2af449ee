#include "quota_message.hpp"

#include "generated/quota.pb.h"

#include <cmath>

namespace daleshelf
{

namespace
{

// Differs from format 1, the host states that arrive on the same socket.
constexpr std::uint32_t format_version = 2;

bool is_valid_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool is_valid(const wire::QuotaMessage& message)
{
    const auto kind = static_cast<int>(message.kind());
    return message.format() == format_version && !message.name().empty() &&
           kind >= static_cast<int>(quota_message_kind::deposit) &&
           kind <= static_cast<int>(quota_message_kind::release) &&
           is_valid_amount(message.share()) &&
           is_valid_amount(message.credit()) &&
           is_valid_amount(message.amount()) &&
           is_valid_amount(message.upstream_limit());
}

} // namespace

std::string encode(const quota_message& message)
{
    wire::QuotaMessage bytes;
    bytes.set_format(format_version);
    bytes.set_name(message.from.value());
    bytes.set_hall(message.hall.value());
    bytes.set_incarnation(message.sender_incarnation.value());
    bytes.set_sequence(message.sequence);
    bytes.set_kind(static_cast<std::uint32_t>(message.kind));
    bytes.set_is_stopping(message.is_stopping);
    bytes.set_fleet_size(message.fleet_size);
    bytes.set_keeper_incarnation(message.keeper_incarnation.value());
    bytes.set_share(message.share);
    bytes.set_credit(message.credit);
    bytes.set_workspace(message.workspace.value());
    bytes.set_upstream(message.upstream.value());
    if (message.limit && message.limit->per_second)
    {
        bytes.set_born(message.limit->server.started_at.value());
        bytes.set_upstream_limit(*message.limit->per_second);
        bytes.set_named_at_ms(absl::ToUnixMillis(message.limit->advertised_at));
    }
    bytes.set_amount(message.amount);
    bytes.set_answer_to(message.in_reply_to);
    return bytes.SerializeAsString();
}

std::optional<quota_message> decode_quota_message(std::string_view bytes)
{
    wire::QuotaMessage read;
    if (!read.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !is_valid(read))
    {
        return std::nullopt;
    }
    quota_message message;
    message.kind = static_cast<quota_message_kind>(read.kind());
    message.from = host_id(read.name());
    message.hall = hall_id(read.hall());
    message.sender_incarnation = incarnation(read.incarnation());
    message.sequence = read.sequence();
    message.is_stopping = read.is_stopping();
    message.fleet_size = read.fleet_size();
    message.keeper_incarnation = incarnation(read.keeper_incarnation());
    message.share = read.share();
    message.credit = read.credit();
    message.workspace = workspace_id(read.workspace());
    message.upstream = upstream_id(read.upstream());
    if (read.has_upstream_limit())
    {
        message.limit = {{message.upstream, upstream_birth(read.born())},
                         read.upstream_limit(),
                         absl::FromUnixMillis(read.named_at_ms())};
    }
    message.amount = read.amount();
    message.in_reply_to = read.answer_to();
    return message;
}

} // namespace daleshelf
