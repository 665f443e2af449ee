/// @file
/// Exchange of loads and demand between hosts.
#pragma once

#include "gateway_state.hpp"
#include "peer_exchange.hpp"

#include <load_sharing/load_exchange.hpp>
#include <string_view>

namespace daleshelf
{

/// Shares the loads of engines and the demand of workspaces between the hosts
/// of the fleet, and applies what other hosts report to the choice of engines
/// and to the shares of workspaces. Idle unless headroom is modelled for a
/// service. See docs/hard-load.md, part 3.
class headroom_service
{
public:
    headroom_service(gateway_state& state, peer_exchange& peers);

    void start();

    /// Sets the gauges of demand, capacity and slow engines.
    void set_gauges();

private:
    awaitable<void> run();
    void send(const std::vector<load_datagram>& datagrams);
    void apply_shared_loads();
    void update_shares(const shared_loads& others, absl::Time received_at);
    double calibrate(const service_name& service,
                     const std::vector<workspace_demand>& demand,
                     const server_loads& others);
    void log_shortage();
    [[nodiscard]] bool is_needed() const;
    [[nodiscard]] bool is_modelled(const service_name& name) const;
    [[nodiscard]] shared_loads own_report();
    [[nodiscard]] std::vector<load_peer> peers_in_contact() const;
    [[nodiscard]] double capacity_of(const service_name& service,
                                     absl::Time now) const;

    gateway_state& m_state;
    peer_exchange& m_peers;
    load_exchange m_exchange;
    std::map<service_name, double> m_calibrations;
    absl::Time m_logged_at = absl::InfinitePast();
};

} // namespace daleshelf
