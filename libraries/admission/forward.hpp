/// @file
/// Forward declarations of the admission package.
#pragma once

namespace daleshelf
{

class fair_queue;

} // namespace daleshelf
