/// @file
/// Selects the entry host that replicates a request, and the hosts to search
/// for a copy.
#pragma once

#include <base/identifiers.hpp>
#include <optional>
#include <vector>

namespace daleshelf
{

/// An entry host that can hold a copy of a request.
struct copy_candidate
{
    host_id host;
    hall_id hall;
    bool is_reachable = true;
    bool is_leaving = false;
};

/// Chooses the host that holds a request's replica by rendezvous hashing.
/// Prefers hosts of other halls, because a reclaim takes a whole hall.
/// @param id id of the request
/// @param own_hall hall of the owner
/// @param candidates the other hosts
/// @return nothing if every host is unreachable or leaving
[[nodiscard]] std::optional<host_id>
choose_replica(const request_id& id, const hall_id& own_hall,
               const std::vector<copy_candidate>& candidates);

/// Orders hosts by how likely they hold a copy: the accepting host first, then
/// by the hash that `choose_replica` uses. Omits unreachable hosts.
/// @param id id of the request
/// @param candidates all other hosts, unreachable ones included
/// @return the hosts to ask, most likely first
[[nodiscard]] std::vector<host_id>
search_order(const request_id& id,
             const std::vector<copy_candidate>& candidates);

/// @param id id of a request
/// @return the host that accepted it, parsed from the id; empty if the id is
/// malformed
[[nodiscard]] host_id accepting_host(const request_id& id);

/// @param host the host that accepts a request
/// @param incarnation_name name of the host's incarnation
/// @param number sequence number within the incarnation
/// @return the id of a new request
[[nodiscard]] request_id make_request_id(const host_id& host,
                                         const std::string& incarnation_name,
                                         std::uint64_t number);

} // namespace daleshelf
