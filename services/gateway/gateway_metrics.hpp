/// @file
/// Counters, latencies and ages that a gateway shows.
#pragma once

#include "async_event.hpp"

#include <ingress/ingress_configuration.hpp>
#include <map>
#include <string>
#include <string_view>
#include <telemetry/metrics.hpp>

namespace daleshelf
{

/// How one request has ended, for metrics.
struct request_summary
{
    const ingress_route* route = nullptr; ///< null: it has none
    std::string_view outcome;             ///< one of a few words
    std::string hall;                     ///< of the last server; empty: none
    int attempts = 0;
    double seconds = 0;
};

/// Counts requests. Labels are bounded: beyond a number of routes, further
/// ones are counted together.
class gateway_metrics
{
public:
    explicit gateway_metrics(metric_registry& registry) : m_registry(registry)
    {
    }

    /// Counts a request that has ended.
    void count(const request_summary& summary);

    /// Counts an attempt that did not bring the answer.
    void count_failed_attempt(std::string_view end);

    /// Sets a gauge named `daleshelf_gateway_<name>`.
    void set(const std::string& name, const std::string& help, double value);

    /// Routes that are told apart.
    static constexpr std::size_t most_routes = 64;

private:
    std::string route_label(const ingress_route* route);

    metric_registry& m_registry;
    std::map<std::string, bool> m_routes;
};

} // namespace daleshelf
