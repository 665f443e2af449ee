/// @file
/// Loads and demand of one host, or the sums of several.
#pragma once

#include <fair_shares/workspace_demand.hpp>
#include <ingress/server_load.hpp>
#include <vector>

namespace daleshelf
{

/// Loads of upstreams by one host, or summed up over several hosts.
struct shared_loads
{
    server_loads loads; ///< requests in flight, by upstream
    /// Factor by which upstreams are slow at the moment, if they are: the
    /// largest that a host has observed.
    absl::flat_hash_map<upstream_id, double> slowdowns;
    /// One entry for each service, workspace and rank.
    std::vector<workspace_demand> demand;

    /// Adds the loads and the demand of other hosts.
    void add(const shared_loads& other);

    /// Subtracts the loads and the demand of a host that the sums contain.
    /// Slowdowns remain. Sums that would be negative become zero.
    void subtract(const shared_loads& other);
};

} // namespace daleshelf
