/// @file
/// The configuration that the gateway serves by, as the operator declares it.
#pragma once

#include <base/identifiers.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daleshelf
{

/// What may be repeated on a route.
enum class request_kind
{
    safe,      ///< may run more than once
    unsafe,    ///< at most once
    streaming, ///< a stream of events; unsafe unless it can be resumed
};

/// A service that takes a share of a route's requests.
struct route_target
{
    service_name service;
    std::int64_t weight = 1;
};

/// How requests of one host and path prefix are served.
struct ingress_route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::unsafe;
    std::chrono::milliseconds timeout{30000};
    std::chrono::milliseconds objective{1000};
    std::chrono::milliseconds gap_objective{0}; ///< 0: none
    int priority = 0;                           ///< 0 is highest
    int max_attempts = 1;
    bool is_public = false;
    bool is_resumable = false;
    std::vector<route_target> targets;
};

/// @return whether a request of the route may run more than once
[[nodiscard]] inline bool may_repeat(const ingress_route& route)
{
    return route.kind == request_kind::safe ||
           (route.kind == request_kind::streaming && route.is_resumable);
}

/// How many servers of a service may be ordered, and what they cost.
struct scaling_limits
{
    bool is_scalable = false;
    int least = 1; ///< per hall
    int most = 1;  ///< per hall
    std::chrono::milliseconds boot_time{0};
    double spot_price = 0; ///< against 1 for an on-demand server; 0: none
    std::map<hall_id, double> hall_prices;
};

/// One service: servers that answer alike.
struct ingress_service
{
    service_name name;
    std::string health_path;
    int max_connections = 0;
    bool is_engine = false;
    int engine_slots = 0;
    std::int64_t cache_tokens = 0;
    bool has_moves = false;
    bool has_backups = false;
    scaling_limits scaling;
};

/// How much of its quota one tenant may use, in its unit.
struct tenant_limit
{
    double rate_per_second = 0; ///< 0: no limit
    double burst = 0;
};

/// One tenant and the keys that it holds.
struct ingress_tenant
{
    workspace_id name;
    std::vector<std::string> keys;
    int priority = 0;
    bool counts_tokens = false;    ///< otherwise requests
    std::int64_t plain_tokens = 1; ///< for a request that states no tokens
    tenant_limit limit;
};

/// What a client may send and how long it may take.
struct ingress_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = std::size_t{4} << 20;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the whole configuration.
struct ingress_configuration
{
    std::int64_t version = 0;
    std::vector<ingress_route> routes;
    std::vector<ingress_service> services;
    std::vector<ingress_tenant> tenants;
    ingress_limits limits;
};

} // namespace daleshelf
