/// @file
/// Membership messages on the wire.
#pragma once

#include "generated/peer.pb.h"

#include <membership/gossip_message.hpp>

namespace daleshelf
{

/// @return the message in its wire form
[[nodiscard]] protocol::Gossip to_wire(const gossip_message& message);

/// @param wire a message as it came
/// @return the message; values out of range become the nearest known one
[[nodiscard]] gossip_message from_wire(const protocol::Gossip& wire);

} // namespace daleshelf
