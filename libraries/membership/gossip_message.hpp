/// @file
/// Messages of the SWIM membership protocol.
#pragma once

#include "member.hpp"

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace daleshelf
{

/// One message between two entry hosts.
struct gossip_message
{
    enum class kind
    {
        ping,          ///< asks for an `ack`
        ack,           ///< response to the `ping` of the same sequence
        indirect_ping, ///< asks to ping `target` and forward its `ack`
        sync_request,  ///< asks for the full member list
        sync_reply,    ///< a part of the full member list
    };

    kind type = kind::ping;
    std::uint64_t sequence = 0; ///< pairs a request with its response
    host_id target;             ///< of an indirect ping
    member sender;
    std::vector<member> updates;  ///< piggybacked membership updates
    std::vector<host_id> leaving; ///< hosts of the platform that are leaving
};

/// A message and its destination.
struct outgoing_gossip
{
    std::string address; ///< IP:PORT
    gossip_message message;
};

} // namespace daleshelf
