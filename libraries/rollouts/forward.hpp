/// @file
/// Forward declarations of the rollouts package.
#pragma once

namespace daleshelf
{

class version_gate;
struct rollout_order;

} // namespace daleshelf
