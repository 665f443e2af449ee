/// @file
/// The engine models of all services.
#pragma once

#include "engine_model.hpp"

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// Holds one model per service, created on first access.
class engine_table
{
public:
    /// @return the service's model, created with priors if there is none
    engine_model& model_of(const service_name& service)
    {
        return m_models[service];
    }

    [[nodiscard]] const std::map<service_name, engine_model>& all() const
    {
        return m_models;
    }

    /// Updates the pooled estimate of each service.
    void refresh()
    {
        for (auto& [service, model] : m_models)
        {
            model.refresh();
        }
    }

    /// Removes the estimates of a peer that is gone.
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
