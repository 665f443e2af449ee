/// @file
/// The engine models of all services.
#pragma once

#include "engine_model.hpp"

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// One model a service, made when it is first asked for.
class engine_table
{
public:
    /// @return the service's model
    engine_model& of(const service_name& service)
    {
        return m_models[service];
    }

    [[nodiscard]] const std::map<service_name, engine_model>& all() const
    {
        return m_models;
    }

    /// Joins what peers have told, for each service.
    void refresh()
    {
        for (auto& [service, model] : m_models)
        {
            model.refresh();
        }
    }

    /// Forgets a peer that is gone.
    void drop_peer(const host_id& peer)
    {
        for (auto& [service, model] : m_models)
        {
            model.drop_peer(peer);
        }
    }

private:
    std::map<service_name, engine_model> m_models;
};

} // namespace daleshelf
