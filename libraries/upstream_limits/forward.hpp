/// @file
/// Forward declarations of the upstream_limits package.
#pragma once

namespace daleshelf
{

class limit_table;
struct limit_record;
struct limit_update;

} // namespace daleshelf
