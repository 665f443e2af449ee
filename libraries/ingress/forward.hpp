/// @file
/// Forward declarations of the ingress package.
#pragma once

namespace daleshelf
{

class completion_time;
class event_sequence;
class event_splitter;
class link_monitor;
class upstream_load_table;
class prefix_cache_estimate;
class request_memory;
class request_memory_share;
class retry_budget_share;
class route_table;
class server_choice;
class server_directory;
class upstream_health;
struct decision_policy;
struct ingress_configuration;
struct ingress_route;
struct ingress_service;
struct ingress_tenant;
struct request_facts;
struct server_entry;
struct server_load;
struct tenant_limit;
struct upstream_incarnation;

} // namespace daleshelf
