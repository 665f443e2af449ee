/// @file
/// Choice of the hosts that keep the origin of a stream.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstddef>
#include <vector>

namespace daleshelf
{

/// A host that may keep origins.
struct keeper_candidate
{
    host_id host;
    hall_id hall;
    absl::Duration uptime; ///< of its process
};

/// How many hosts keep the origin of each stream.
struct keeper_counts
{
    std::size_t halls = 3;        ///< one keeper in each of so many halls
    std::size_t per_own_hall = 3; ///< keepers in the hall of the stream's host
};

/// Selects keepers by rendezvous hash of the attempt that began the stream. The
/// first ones are the same from every hall, one in each of a few halls; further
/// ones are in the own hall, which may be cut off from all others. Hosts with
/// slightly different views of the fleet select mostly the same ones.
/// @param attempt the client's attempt that began the stream
/// @param own_hall hall of this host
/// @param candidates the known hosts, with this one
[[nodiscard]] std::vector<host_id>
origin_keepers(const request_id& attempt, const hall_id& own_hall,
               const std::vector<keeper_candidate>& candidates,
               const keeper_counts& counts = {});

} // namespace daleshelf
