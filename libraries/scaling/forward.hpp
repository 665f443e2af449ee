/// @file
/// Forward declarations of the scaling package.
#pragma once

namespace daleshelf
{

class demand_meter;
struct scale_options;
struct scale_target;

} // namespace daleshelf
