/// @file
/// The request for a slot of a brittle upstream.
#pragma once

#include "brittle_upstream.hpp"
#include "slot_message.hpp"

#include <base/identifiers.hpp>
#include <cstdint>
#include <optional>

namespace daleshelf
{

/// An open request for one slot. Only one host grants the slots of an upstream
/// at a time, so a keeper that does not reply is asked again, and no other.
struct slot_claim
{
    brittle_upstream upstream;
    std::optional<host_id> keeper; ///< nothing if none is reachable
    int attempts = 0;              ///< requests to the keeper
    /// Sequence of the request that was sent last; 0: none was.
    std::int64_t sequence = 0;
};

/// What to do next for a claim.
struct slot_claim_step
{
    enum class status
    {
        granted,
        denied,  ///< all slots are in use, or no keeper of an upstream that
                 ///< is known to be brittle has replied
        pending, ///< send `request`, and wait for its reply or a timeout
    };
    status result = status::denied;
    std::optional<addressed_slot_message> request;
};

} // namespace daleshelf
