/// @file
/// Demand of one workspace for the slots of a service.
#pragma once

#include <base/identifiers.hpp>

namespace daleshelf
{

/// Slots that the requests of one workspace and rank would occupy on average.
struct workspace_demand
{
    service_name service;
    workspace_id workspace;
    int rank = 0;     ///< 0 to 9, 0 is the most urgent
    double slots = 0; ///< mean number of slots, rejected requests included

    bool operator==(const workspace_demand&) const = default;
};

} // namespace daleshelf
