#include "gossip_codec.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

protocol::Member to_wire(const member& item)
{
    protocol::Member wire;
    wire.set_id(item.id.value());
    wire.set_hall(item.hall.value());
    wire.set_address(item.address);
    wire.set_started(item.started.value());
    wire.set_refutation(item.refutation);
    wire.set_state(static_cast<int>(item.state));
    wire.set_applied(item.applied.value());
    wire.set_is_draining(item.is_draining);
    return wire;
}

member from_wire(const protocol::Member& wire)
{
    member item;
    item.id = host_id(wire.id());
    item.hall = hall_id(wire.hall());
    item.address = wire.address();
    item.started = incarnation(wire.started());
    item.refutation = wire.refutation();
    const int last = static_cast<int>(member_state::left);
    item.state = static_cast<member_state>(std::clamp(wire.state(), 0, last));
    item.applied = log_offset(wire.applied());
    item.is_draining = wire.is_draining();
    return item;
}

} // namespace

protocol::Gossip to_wire(const gossip_message& message)
{
    protocol::Gossip wire;
    wire.set_kind(static_cast<int>(message.type));
    wire.set_sequence(message.sequence);
    wire.set_target(message.target.value());
    *wire.mutable_sender() = to_wire(message.sender);
    for (const auto& update : message.updates)
    {
        *wire.add_updates() = to_wire(update);
    }
    for (const auto& host : message.leaving)
    {
        wire.add_leaving(host.value());
    }
    return wire;
}

gossip_message from_wire(const protocol::Gossip& wire)
{
    gossip_message message;
    const int last = static_cast<int>(gossip_message::kind::sync_reply);
    message.type =
        static_cast<gossip_message::kind>(std::clamp(wire.kind(), 0, last));
    message.sequence = wire.sequence();
    message.target = host_id(wire.target());
    message.sender = from_wire(wire.sender());
    for (const auto& update : wire.updates())
    {
        message.updates.push_back(from_wire(update));
    }
    for (const auto& host : wire.leaving())
    {
        message.leaving.emplace_back(host);
    }
    return message;
}

} // namespace daleshelf
