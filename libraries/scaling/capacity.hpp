/// @file
/// Capacity planning: the number of engines that a load needs.
#pragma once

#include "prompt_samples.hpp"

#include <engines/engine_estimate.hpp>
#include <engines/service_work.hpp>
#include <vector>

namespace daleshelf
{

/// Number of upstreams that a load needs.
struct server_need
{
    int preferred = 1; ///< at this number requests meet their objectives
    int minimum = 1;   ///< below this number work queues up
};

/// Options of the capacity calculation.
struct capacity_options
{
    int slots = 1;               ///< concurrent generations per upstream
    double gap_objective_ms = 0; ///< longest interval between events; 0: none
    /// Accepted fraction of prompts that miss their objective because they wait
    /// for others, among those that can meet it.
    double late_part = 0.03;
    int server_limit = 1; ///< highest number of upstreams to order
};

/// Calculates the needed upstreams from the estimated speed of the engines, see
/// docs/design/engines.md. Prompts that cannot meet their objective on an idle
/// engine count as load only: no number of upstreams makes them meet it.
/// @param load prompts and tokens per second
/// @param engine estimated speed of the service's engines
/// @param samples sample of the prompts of the load
/// @param options limits and objectives
/// @return the minimum and the preferred number of upstreams
[[nodiscard]] server_need
servers_needed(const service_work& load, const engine_estimate& engine,
               const std::vector<prompt_sample>& samples,
               const capacity_options& options);

/// Calculates how many additional upstreams compensate for the rate limits of
/// some, assuming that upstreams without a limit share the load evenly.
/// @param load prompts per second
/// @param needed upstreams without a limit that can carry the load
/// @param limits advertised rate limits, in requests per second
/// @return the number of additional upstreams
[[nodiscard]] int limit_shortfall(const service_work& load, int needed,
                                  const std::vector<double>& limits);

} // namespace daleshelf
