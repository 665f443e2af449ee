/// @file
/// An operator's order to roll a service out to another version.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>

namespace daleshelf
{

/// Moves the requests of a service to upstreams of the target version, which
/// are started alongside those of the old version.
struct rollout_order
{
    service_name service;
    version_name target;
    absl::Duration duration; ///< from the order to its deadline
    log_offset offset; ///< of the log record; later orders have higher ones

    friend bool operator==(const rollout_order&,
                           const rollout_order&) = default;
};

/// The state of an order.
enum class rollout_phase
{
    running,
    completed,   ///< all requests go to the target; old upstreams may stop
    rolled_back, ///< the target receives no more requests
};

/// The state of an order as stored in the log.
struct rollout_status
{
    service_name service;
    version_name target;
    rollout_phase phase = rollout_phase::running;
    log_offset order{-1};  ///< offset of the order; -1: unknown
    absl::Time ordered_at; ///< wall-clock time at which it was first read
};

} // namespace daleshelf
