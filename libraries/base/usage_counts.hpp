/// @file
/// Counts of requests by tenant and by usage window.
#pragma once

#include "identifiers.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>

namespace daleshelf
{

/// Requests begun, by tenant.
using tenant_counts = std::map<workspace_id, std::int64_t>;

/// Requests begun, by the number of a usage window.
using counts_by_window = std::map<std::int64_t, tenant_counts>;

/// @return an object of numbers by tenant
[[nodiscard]] boost::json::object to_json(const tenant_counts& counts);

/// @param object an object of numbers by tenant
/// @throws json_error if it holds something else
[[nodiscard]] tenant_counts
tenant_counts_from_json(const boost::json::object& object);

} // namespace daleshelf
