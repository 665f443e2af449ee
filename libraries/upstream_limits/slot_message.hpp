/// @file
/// Messages between hosts about the slots of brittle upstreams.
#pragma once

#include "slot_use.hpp"

#include <base/identifiers.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// The kinds of messages. The values go on the wire.
enum class slot_message_kind : std::uint8_t
{
    report = 0,  ///< the use of some upstreams by the sender
    request = 1, ///< asks for a slot at the only upstream that it names
    reply = 2,   ///< grants or denies that slot
};

/// One message. It may be lost, late, or arrive after a later one.
struct slot_message
{
    slot_message_kind kind = slot_message_kind::report;
    host_id from;
    incarnation from_incarnation;
    std::int64_t sequence = 0; ///< increases within one incarnation
    std::int64_t in_reply_to = 0;
    bool is_granted = false;
    std::vector<slot_use> uses;
};

/// A message and its recipient.
struct addressed_slot_message
{
    host_id to;
    slot_message message;
};

/// Maximum number of upstreams in a message.
inline constexpr std::size_t max_slot_uses = 256;

/// @return the encoded message
[[nodiscard]] std::string encode(const slot_message& message);

/// @return the message, or nothing if the bytes are not a valid one
[[nodiscard]] std::optional<slot_message>
decode_slot_message(std::string_view bytes);

} // namespace daleshelf
