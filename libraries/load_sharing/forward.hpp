/// @file
/// Forward declarations of the load_sharing package.
#pragma once

namespace daleshelf
{

class load_exchange;
struct load_message;
struct shared_loads;

} // namespace daleshelf
