/// @file
/// Which entry hosts keep a copy of a request, and where to look for one.
#pragma once

#include <base/identifiers.hpp>
#include <optional>
#include <vector>

namespace daleshelf
{

/// An entry host that could hold a copy.
struct copy_candidate
{
    host_id host;
    hall_id hall;
    bool is_reachable = true;
    bool is_leaving = false;
};

/// Chooses the host that gets a request's replica: one of another hall where
/// one is reachable, since a reclaim takes a whole hall.
/// @param id the request
/// @param own_hall hall of the owner
/// @param candidates the other hosts
/// @return nothing if no host is reachable
[[nodiscard]] std::optional<host_id>
choose_replica(const request_id& id, const hall_id& own_hall,
               const std::vector<copy_candidate>& candidates);

/// Orders hosts by how likely they hold a copy, by the ranks that the choice
/// of a replica goes by. Hosts that are not reachable are left out.
/// @param id the request
/// @param candidates all other hosts, gone ones too
[[nodiscard]] std::vector<host_id>
search_order(const request_id& id,
             const std::vector<copy_candidate>& candidates);

/// @param id a request's id
/// @return the host that accepted it, as the id tells
[[nodiscard]] host_id accepting_host(const request_id& id);

/// @param host the host that accepts a request
/// @param incarnation_name tells starts of the host apart
/// @param number counts the requests of one start
[[nodiscard]] request_id make_request_id(const host_id& host,
                                         const std::string& incarnation_name,
                                         std::uint64_t number);

} // namespace daleshelf
