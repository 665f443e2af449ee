/// @file
/// A host's use of a brittle upstream.
#pragma once

#include <cstdint>
#include <ingress/upstream_incarnation.hpp>
#include <optional>

namespace daleshelf
{

/// The state of an upstream that crashes when it rejects many requests, as one
/// host sees it. Counts are absolute, so a later report replaces an earlier
/// one.
struct slot_use
{
    upstream_incarnation server;
    std::int64_t slots = 1; ///< requests that the upstream runs at once
    /// Rejections a second that it tolerates; nothing if the host has just
    /// started and does not know whether there is a limit.
    std::optional<double> rejection_limit;
    std::int64_t in_flight = 0; ///< requests of the host at the upstream
    /// Sequence of the host's oldest message that asks for a slot and has no
    /// reply yet. Slots granted to earlier ones are in `in_flight`, or unused.
    std::int64_t oldest_pending = 0;
    std::int64_t rejected = 0; ///< since the start of the host's process
};

} // namespace daleshelf
