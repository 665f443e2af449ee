/// @file
/// Forward declarations of the upstream_limits package.
#pragma once

namespace daleshelf
{

class limit_table;
class retry_schedule;
struct limit_record;
struct limit_update;

} // namespace daleshelf
