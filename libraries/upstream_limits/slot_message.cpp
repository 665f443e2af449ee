#include "slot_message.hpp"

#include "generated/slot.pb.h"

#include <cmath>

namespace daleshelf
{

namespace
{

// Format number; see peers/datagram_format.hpp.
constexpr std::uint32_t slot_format = 11;
// Bounds counts of a faulty peer, so that their sums fit into 64 bits.
constexpr std::int64_t max_count = 1'000'000;

bool is_count(std::int64_t value)
{
    return value >= 0 && value <= max_count;
}

std::optional<slot_use> read_use(const wire::SlotUse& item)
{
    const bool is_valid =
        !item.server().empty() && item.slots() >= 1 && is_count(item.slots()) &&
        is_count(item.in_flight()) && item.rejected() >= 0 &&
        std::isfinite(item.rejection_limit()) && item.rejection_limit() >= 0;
    if (!is_valid)
    {
        return std::nullopt;
    }
    slot_use use;
    use.server = {upstream_id(item.server()), upstream_birth(item.born())};
    use.slots = item.slots();
    if (item.has_rejection_limit())
    {
        use.rejection_limit = item.rejection_limit();
    }
    use.in_flight = item.in_flight();
    use.rejected = item.rejected();
    use.oldest_pending = item.oldest_pending();
    return use;
}

} // namespace

std::string encode(const slot_message& message)
{
    wire::SlotMessage encoded;
    encoded.set_format(slot_format);
    encoded.set_name(message.from.value());
    encoded.set_incarnation(message.from_incarnation.value());
    encoded.set_sequence(message.sequence);
    encoded.set_kind(static_cast<std::uint32_t>(message.kind));
    encoded.set_in_reply_to(message.in_reply_to);
    encoded.set_is_granted(message.is_granted);
    for (const auto& use : message.uses)
    {
        auto& item = *encoded.add_uses();
        item.set_server(use.server.id.value());
        item.set_born(use.server.started_at.value());
        item.set_slots(use.slots);
        if (use.rejection_limit)
        {
            item.set_rejection_limit(*use.rejection_limit);
        }
        item.set_in_flight(use.in_flight);
        item.set_rejected(use.rejected);
        item.set_oldest_pending(use.oldest_pending);
    }
    return encoded.SerializeAsString();
}

std::optional<slot_message> decode_slot_message(std::string_view bytes)
{
    wire::SlotMessage encoded;
    const bool is_message =
        encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
        encoded.format() == slot_format && !encoded.name().empty() &&
        encoded.kind() <=
            static_cast<std::uint32_t>(slot_message_kind::reply) &&
        static_cast<std::size_t>(encoded.uses_size()) <= max_slot_uses;
    if (!is_message)
    {
        return std::nullopt;
    }
    slot_message message;
    message.kind = static_cast<slot_message_kind>(encoded.kind());
    message.from = host_id(encoded.name());
    message.from_incarnation = incarnation(encoded.incarnation());
    message.sequence = encoded.sequence();
    message.in_reply_to = encoded.in_reply_to();
    message.is_granted = encoded.is_granted();
    for (const auto& item : encoded.uses())
    {
        if (auto use = read_use(item))
        {
            message.uses.push_back(std::move(*use));
        }
    }
    const bool is_request = message.kind == slot_message_kind::request;
    if (is_request && message.uses.size() != 1)
    {
        return std::nullopt;
    }
    return message;
}

} // namespace daleshelf
