/// @file
/// An operator's order to move a service to another version.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>

namespace daleshelf
{

/// Asks for a service's requests to be moved to servers of another version,
/// which are started beside those that serve.
struct rollout_order
{
    service_name service;
    version_name target;
    absl::Duration duration; ///< in which it is to be done
    log_offset offset;       ///< of the record; a later order has a higher one

    friend bool operator==(const rollout_order&,
                           const rollout_order&) = default;
};

/// How far an order has come.
enum class rollout_phase
{
    running,
    completed,   ///< all requests go to the target; old servers may stop
    rolled_back, ///< the target gets nothing any more
};

/// What is kept of an order in the log.
struct rollout_status
{
    service_name service;
    version_name target;
    rollout_phase phase = rollout_phase::running;
    log_offset order{-1};  ///< offset of the order; -1: not stated
    absl::Time ordered_at; ///< time of day at which it was first read
};

} // namespace daleshelf
