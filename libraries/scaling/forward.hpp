/// @file
/// Forward declarations of the scaling package.
#pragma once

namespace daleshelf
{

class demand_meter;
class initial_fleet;
class prompt_samples;
struct capacity_options;
struct prompt_sample;
struct scale_options;
struct scale_target;
struct server_need;

} // namespace daleshelf
