/// @file
/// Counters, latencies and gauges that a gateway exposes.
#pragma once

#include "async_event.hpp"

#include <ingress/ingress_configuration.hpp>
#include <map>
#include <string>
#include <string_view>
#include <telemetry/metrics.hpp>

namespace daleshelf
{

/// Result of one request, for metrics.
struct request_summary
{
    const ingress_route* route = nullptr; ///< null: no route matched
    std::string_view outcome;             ///< from a fixed set
    std::string hall;                     ///< of the last upstream; empty: none
    int attempts = 0;
    double seconds = 0;
};

/// Counts requests. The number of labels is bounded: routes beyond
/// `route_limit` share one label.
class gateway_metrics
{
public:
    explicit gateway_metrics(metric_registry& registry) : m_registry(registry)
    {
    }

    /// Counts a finished request.
    void count(const request_summary& summary);

    /// Counts an attempt that did not yield the response.
    /// @param end how the attempt ended, as a label
    void count_failed_attempt(std::string_view end);

    /// Counts an unfinished request that was rejected for want of memory.
    void count_shed_request();

    /// Counts a connection that was closed because there were too many.
    /// @param which "evicted" or "rejected", as a label
    void count_closed_connection(std::string_view which);

    /// Sets a gauge named `daleshelf_gateway_<name>`.
    void set(const std::string& name, const std::string& help, double value);

    /// Number of routes with a label of their own.
    static constexpr std::size_t route_limit = 64;

private:
    std::string route_label(const ingress_route* route);

    metric_registry& m_registry;
    std::map<std::string, bool> m_labelled_routes;
};

} // namespace daleshelf
