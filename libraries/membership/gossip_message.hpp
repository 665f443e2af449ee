/// @file
/// Messages of the membership protocol.
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
        ping,          ///< answer with `ack`
        ack,           ///< answer to the `ping` of the same sequence
        indirect_ping, ///< ping `target` and pass its answer on
        sync_request,  ///< answer with all that is known
        sync_reply,
    };

    kind what = kind::ping;
    std::uint64_t sequence = 0;
    host_id target; ///< of an indirect ping
    member sender;
    std::vector<member> updates;
    std::vector<host_id> leaving; ///< hosts of the platform that are leaving
};

/// A message and where it goes.
struct outgoing_gossip
{
    std::string address; ///< IP:PORT
    gossip_message message;
};

} // namespace daleshelf
