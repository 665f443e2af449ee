/// @file
/// Looks up the route and the workspace of a request.
#pragma once

#include "ingress_configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace daleshelf
{

/// Indexes one version of the configuration. It is immutable, so a request uses
/// one version from start to end.
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
    /// @param target path and query of the request
    /// @return the host's route with the longest matching prefix, or null
    [[nodiscard]] const ingress_route*
    find_route(std::string_view host, std::string_view target) const;

    /// @return the workspace that the key belongs to, or null
    [[nodiscard]] const ingress_tenant* find_tenant(std::string_view key) const;

    /// @return the service of that name, or null
    [[nodiscard]] const ingress_service*
    find_service(const service_name& name) const;

    /// Selects a target of the route at random, by weight.
    /// @param draw uniform random number in [0, 1)
    /// @return the target's service
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
