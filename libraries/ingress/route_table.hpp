/// @file
/// Finds the route and the tenant of a request.
#pragma once

#include "ingress_configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace daleshelf
{

/// One configuration, indexed. It never changes, so requests keep the one that
/// they began with.
class route_table
{
public:
    /// @param configuration a valid configuration
    explicit route_table(ingress_configuration configuration);

    [[nodiscard]] const ingress_configuration& configuration() const
    {
        return m_configuration;
    }

    /// @param host value of the Host header, with or without a port
    /// @param target path and query
    /// @return the route with the longest prefix, or null
    [[nodiscard]] const ingress_route*
    find_route(std::string_view host, std::string_view target) const;

    /// @return the tenant that holds the key, or null
    [[nodiscard]] const ingress_tenant* find_tenant(std::string_view key) const;

    /// @return the service, or null
    [[nodiscard]] const ingress_service*
    find_service(const service_name& name) const;

    /// Picks a target of the route by weight.
    /// @param draw an even random number in [0, 1)
    [[nodiscard]] static const service_name&
    pick_target(const ingress_route& route, double draw);

private:
    ingress_configuration m_configuration;
    std::unordered_map<std::string, std::vector<const ingress_route*>>
        m_by_host; ///< longest prefix first
    std::unordered_map<std::string, const ingress_tenant*> m_by_key;
    absl::flat_hash_map<service_name, const ingress_service*> m_by_service;
};

} // namespace daleshelf
