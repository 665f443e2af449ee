/// @file
/// Which upstreams of a hall should hold what.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <base/identifiers.hpp>
#include <optional>
#include <resources/configuration.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// An engine of the hall, as the planner sees it.
struct placement_upstream
{
    std::shared_ptr<const upstream_entry> entry;
    bool is_usable = true; ///< neither leaving nor failed
};

/// Demand for a deployment: requests a second in this hall.
using demand_table = absl::flat_hash_map<std::string, double>;

/// An order to an engine.
struct placement_order
{
    enum class action
    {
        load,
        unload,
    };

    action what = action::load;
    upstream_id upstream;
    std::string model;

    friend bool operator==(const placement_order&,
                           const placement_order&) = default;
};

/// What a plan asks for.
struct placement_plan
{
    /// The next orders, the most important first; to be given one at a time,
    /// at the weight store's pace.
    std::vector<placement_order> orders;
    /// Deployments that too few upstreams can hold.
    std::vector<std::string> short_of_upstreams;
};

/// Plans a hall: each deployment is held by as many upstreams as it declares,
/// the ones of higher priority and greater demand first, on the cheapest
/// upstreams that have the fewest models; what is held beyond that and has no
/// demand goes. Nothing is unloaded before its replacement is there.
/// @param config the declared resources
/// @param hall the hall
/// @param upstreams its engines
/// @param demand what is asked for
[[nodiscard]] placement_plan
plan_placement(const configuration& config, const hall_id& hall,
               const std::vector<placement_upstream>& upstreams,
               const demand_table& demand);

} // namespace daleshelf
