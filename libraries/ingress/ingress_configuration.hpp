/// @file
/// The gateway's configuration, as the operator declares it.
#pragma once

#include <base/identifiers.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daleshelf
{

/// How often requests of a route may run.
enum class request_kind
{
    safe,      ///< may run more than once
    unsafe,    ///< at most once
    streaming, ///< answered by an event stream; unsafe unless it is resumable
};

/// A service that gets a share of a route's requests.
struct route_target
{
    service_name service;
    std::int64_t weight = 1;
};

/// How requests for one HTTP host and path prefix are served.
struct ingress_route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::unsafe;
    std::chrono::milliseconds timeout{30000};
    /// Target for the time to the first event of an engine's response.
    std::chrono::milliseconds latency_objective{1000};
    /// Target for the longest pause between two events; 0: none.
    std::chrono::milliseconds gap_objective{0};
    int priority = 0; ///< 0 is highest
    int max_attempts = 1;
    bool is_public = false;    ///< needs no key of a workspace
    bool is_resumable = false; ///< broken streams continue elsewhere
    std::vector<route_target> targets;
};

/// @return whether a request of the route may run more than once
[[nodiscard]] inline bool allows_repeats(const ingress_route& route)
{
    return route.kind == request_kind::safe ||
           (route.kind == request_kind::streaming && route.is_resumable);
}

/// Bounds on the number of upstreams of a service, and their prices.
struct scaling_limits
{
    bool is_scalable = false;
    int min_servers = 1; ///< per hall
    int max_servers = 1; ///< per hall
    std::chrono::milliseconds boot_time{0};
    /// Relative to an on-demand upstream at 1; 0: the service uses no spot
    /// upstreams.
    double spot_price = 0;
    std::map<hall_id, double> hall_prices; ///< relative, by hall
};

/// One service: a set of interchangeable upstreams.
struct ingress_service
{
    service_name name;
    std::string health_path;
    int max_connections = 0;
    bool is_engine = false;
    int engine_slots = 0;              ///< concurrent generations per upstream
    std::int64_t cache_tokens = 0;     ///< capacity of an upstream's KV cache
    int event_tokens = 1;              ///< output tokens in one event
    bool supports_cache_moves = false; ///< KV caches move between upstreams
    bool supports_cache_backups = false; ///< KV caches have backups
    scaling_limits scaling;
};

/// Rate limit of one workspace, in the unit of its quota.
struct tenant_limit
{
    double rate_per_second = 0; ///< 0: unlimited
    double burst = 0;
};

/// One workspace and its API keys.
struct ingress_tenant
{
    workspace_id name;
    std::vector<std::string> keys;
    int priority = 0;
    /// The quota's unit is the token; otherwise the request.
    bool counts_tokens = false;
    /// Cost of a request that states no token counts.
    std::int64_t default_tokens = 1;
    tenant_limit limit;
};

/// Limits on the size and the duration of what a client sends.
struct ingress_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = std::size_t{4} << 20;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the complete configuration.
struct ingress_configuration
{
    std::int64_t version = 0;
    std::vector<ingress_route> routes;
    std::vector<ingress_service> services;
    std::vector<ingress_tenant> tenants;
    ingress_limits limits;
};

} // namespace daleshelf
