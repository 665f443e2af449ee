/// @file
/// How many engines a load needs.
#pragma once

#include "prompt_samples.hpp"

#include <engines/engine_estimate.hpp>
#include <engines/service_work.hpp>
#include <vector>

namespace daleshelf
{

/// Servers that a load needs.
struct server_need
{
    int usual = 1; ///< with them requests meet their objectives
    int least = 1; ///< with fewer, work piles up
};

/// Options of the need.
struct capacity_options
{
    int slots = 1;               ///< generations that one server runs at once
    double gap_objective_ms = 0; ///< longest pause between events; 0: none
    /// Part of the prompts that may miss their objective by waiting for
    /// others, of those that can meet it.
    double late_part = 0.03;
    int most = 1; ///< servers that may be ordered
};

/// Works out the need from what the engines do, see docs/design/engines.md.
/// Prompts that cannot meet their objective on an idle engine ask for capacity
/// alone: no number of servers would make them meet it.
/// @param load prompts and tokens a second
/// @param samples some prompts of the load
[[nodiscard]] server_need
servers_needed(const service_work& load, const engine_estimate& engine,
               const std::vector<prompt_sample>& samples,
               const capacity_options& options);

/// Works out how many servers the limited ones of a service lack against
/// servers without a limit, which share the load evenly.
/// @param load prompts a second
/// @param needed servers without a limit that would carry it
/// @param limits of the servers that name one, in requests a second
[[nodiscard]] int servers_lacking(const service_work& load, int needed,
                                  const std::vector<double>& limits);

} // namespace daleshelf
