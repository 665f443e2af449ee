#include "route_table.hpp"

#include <algorithm>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

} // namespace

route_table::route_table(ingress_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration.routes)
    {
        m_by_host[to_lower(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : m_by_host)
    {
        std::stable_sort(
            routes.begin(), routes.end(),
            [](const auto* left, const auto* right)
            { return left->path_prefix.size() > right->path_prefix.size(); });
    }
    for (const auto& tenant : m_configuration.tenants)
    {
        for (const auto& key : tenant.keys)
        {
            m_by_key[key] = &tenant;
        }
    }
    for (const auto& service : m_configuration.services)
    {
        m_by_service[service.name] = &service;
    }
}

const ingress_route* route_table::find_route(std::string_view host,
                                             std::string_view target) const
{
    const auto found = m_by_host.find(to_lower(without_port(host)));
    if (found == m_by_host.end())
    {
        return nullptr;
    }
    const auto path = path_of(target);
    for (const auto* route : found->second)
    {
        if (path.starts_with(route->path_prefix))
        {
            return route;
        }
    }
    return nullptr;
}

const ingress_tenant* route_table::find_tenant(std::string_view key) const
{
    const auto found = m_by_key.find(std::string(key));
    return found == m_by_key.end() ? nullptr : found->second;
}

const ingress_service* route_table::find_service(const service_name& name) const
{
    const auto found = m_by_service.find(name);
    return found == m_by_service.end() ? nullptr : found->second;
}

const service_name& route_table::pick_target(const ingress_route& route,
                                             double draw)
{
    std::int64_t total = 0;
    for (const auto& target : route.targets)
    {
        total += target.weight;
    }
    auto remaining =
        static_cast<std::int64_t>(draw * static_cast<double>(total));
    for (const auto& target : route.targets)
    {
        remaining -= target.weight;
        if (remaining < 0)
        {
            return target.service;
        }
    }
    return route.targets.back().service;
}

} // namespace daleshelf
