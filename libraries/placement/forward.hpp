/// @file
/// Forward declarations of the placement package.
#pragma once

namespace daleshelf
{

class host_requester;
struct placement_order;
struct placement_upstream;

} // namespace daleshelf
