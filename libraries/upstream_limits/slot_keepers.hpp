/// @file
/// Choice of the hosts that grant the slots of a brittle upstream.
#pragma once

#include <base/identifiers.hpp>
#include <cstddef>
#include <vector>

namespace daleshelf
{

/// A host that can grant slots.
struct slot_host
{
    host_id host;
    hall_id hall;
    bool is_reachable = true;
};

/// Ranks hosts by rendezvous hash of the upstream. Only hosts of the upstream's
/// hall are selected if it has any: while the hall is partitioned, those that
/// reach the upstream reach them too, and two keepers on different sides would
/// grant the same slots as it heals. Hosts with slightly different views of the
/// fleet select mostly the same keepers.
/// @param candidates the known hosts, with this one
/// @param count maximum number of keepers
/// @return reachable keepers, the first one preferred
[[nodiscard]] std::vector<host_id>
slot_keepers(const upstream_id& server, const hall_id& server_hall,
             const std::vector<slot_host>& candidates, std::size_t count);

} // namespace daleshelf
