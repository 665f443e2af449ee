/// @file
/// What the threads of one daemon share.
#pragma once

#include "peer_view.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <base/identifiers.hpp>
#include <memory>
#include <resources/configuration.hpp>
#include <routing/load_table.hpp>
#include <routing/router.hpp>
#include <telemetry/metrics.hpp>

namespace daleshelf
{

/// Written by the control thread as whole immutable values, read by traffic.
class node_state
{
public:
    /// @param host this host
    /// @param hall the hall it is in
    node_state(host_id host, hall_id hall)
        : m_host(std::move(host)), m_hall(std::move(hall))
    {
        m_configuration = std::make_shared<const configuration>();
        m_peers = std::make_shared<const peer_view>();
    }

    [[nodiscard]] const host_id& host() const
    {
        return m_host;
    }

    [[nodiscard]] const hall_id& hall() const
    {
        return m_hall;
    }

    /// @return the configuration in force; never null
    [[nodiscard]] std::shared_ptr<const configuration>
    current_configuration() const
    {
        return m_configuration.load();
    }

    void set_configuration(std::shared_ptr<const configuration> next)
    {
        m_configuration.store(std::move(next));
    }

    /// @return the fleet as it is known now; never null
    [[nodiscard]] std::shared_ptr<const peer_view> peers() const
    {
        return m_peers.load();
    }

    void set_peers(std::shared_ptr<const peer_view> next)
    {
        m_peers.store(std::move(next));
    }

    [[nodiscard]] load_table& loads()
    {
        return m_loads;
    }

    [[nodiscard]] router& routes()
    {
        return m_router;
    }

    [[nodiscard]] metric_registry& metrics()
    {
        return m_metrics;
    }

    /// @return whether the configuration is new enough to serve with
    [[nodiscard]] bool is_current() const
    {
        return m_is_current;
    }

    void set_current()
    {
        m_is_current = true;
    }

    /// @return whether this host plans its hall
    [[nodiscard]] bool is_planner() const
    {
        return m_is_planner;
    }

    void set_planner(bool is_planner)
    {
        m_is_planner = is_planner;
    }

    /// @return whether this host is to take no new requests
    [[nodiscard]] bool is_draining() const
    {
        return m_is_draining;
    }

    void set_draining()
    {
        m_is_draining = true;
    }

private:
    host_id m_host;
    hall_id m_hall;
    std::atomic<std::shared_ptr<const configuration>> m_configuration;
    std::atomic<std::shared_ptr<const peer_view>> m_peers;
    load_table m_loads;
    router m_router{m_loads};
    metric_registry m_metrics;
    std::atomic<bool> m_is_current = false;
    std::atomic<bool> m_is_draining = false;
    std::atomic<bool> m_is_planner = false;
};

} // namespace daleshelf
