/// @file
/// Forward declarations of the engines package.
#pragma once

#include <cstddef>

namespace daleshelf
{

class engine_model;
class engine_table;
struct engine_estimate;
struct generation_observation;
struct prompt_observation;
template <std::size_t Size>
class linear_fit;

} // namespace daleshelf
