/// @file
/// Forward declarations of the routing package.
#pragma once

namespace daleshelf
{

class load_table;
struct load_report;
class prefix_memory;
class router;
struct routing_choice;
struct routing_request;
struct upstream_load;

} // namespace daleshelf
