/// @file
/// Forward declarations of the scaling package.
#pragma once

namespace daleshelf
{

class demand_meter;
class scale_planner;
struct scale_target;

} // namespace daleshelf
