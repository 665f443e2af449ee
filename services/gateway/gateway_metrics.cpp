#include "gateway_metrics.hpp"

#include <base/text.hpp>

namespace daleshelf
{

void gateway_metrics::count(const request_summary& summary)
{
    const auto route = route_label(summary.route);
    const auto labels =
        concat("route=\"", route, "\",outcome=\"", summary.outcome,
               "\",server_hall=\"", summary.hall, "\"");
    m_registry
        .find_counter("daleshelf_gateway_requests_total",
                      "Requests that have ended.", labels)
        .add();
    m_registry
        .find_distribution("daleshelf_gateway_request_seconds",
                           "Time from a whole request to the end of its "
                           "answer.",
                           concat("route=\"", route, "\""))
        .observe(summary.seconds);
    if (summary.attempts > 1)
    {
        m_registry
            .find_counter("daleshelf_gateway_retries_total",
                          "Attempts beyond a request's first.")
            .add(summary.attempts - 1);
    }
}

void gateway_metrics::count_failed_attempt(std::string_view end)
{
    m_registry
        .find_counter("daleshelf_gateway_failed_attempts_total",
                      "Attempts that did not bring an answer, by how they "
                      "ended.",
                      concat("end=\"", end, "\""))
        .add();
}

void gateway_metrics::count_shed_request()
{
    m_registry
        .find_counter("daleshelf_gateway_shed_requests_total",
                      "Unfinished requests rejected for want of memory.")
        .add();
}

void gateway_metrics::count_closed_connection(std::string_view which)
{
    m_registry
        .find_counter("daleshelf_gateway_closed_connections_total",
                      "Connections of clients closed for want of descriptors "
                      "or memory.",
                      concat("which=\"", which, "\""))
        .add();
}

void gateway_metrics::set(const std::string& name, const std::string& help,
                          double value)
{
    m_registry.find_gauge(concat("daleshelf_gateway_", name), help).set(value);
}

std::string gateway_metrics::route_label(const ingress_route* route)
{
    if (route == nullptr)
    {
        return "none";
    }
    const bool is_known = m_labelled_routes.contains(route->name);
    if (!is_known && m_labelled_routes.size() >= route_limit)
    {
        return "other";
    }
    m_labelled_routes.emplace(route->name, true);
    return route->name;
}

} // namespace daleshelf
