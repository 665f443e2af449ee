/// @file
/// Forward declarations of the scaling package.
#pragma once

namespace daleshelf
{

class demand_meter;
class initial_fleet;
struct scale_options;
struct scale_target;

} // namespace daleshelf
