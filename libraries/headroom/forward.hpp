/// @file
/// Forward declarations of the headroom package.
#pragma once

namespace daleshelf
{

class output_length_model;
class speed_table;
struct length_estimate;
struct speed_estimate;
struct speed_observation;

} // namespace daleshelf
