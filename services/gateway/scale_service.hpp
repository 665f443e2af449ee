/// @file
/// Scaling of services, as a duty of one gateway at a time.
#pragma once

#include "duty_service.hpp"
#include "gateway_state.hpp"
#include "http_call.hpp"
#include "peer_exchange.hpp"

#include <map>
#include <scaling/demand_meter.hpp>
#include <scaling/first_order.hpp>
#include <scaling/initial_fleet.hpp>
#include <scaling/removal_budget.hpp>
#include <scaling/scale_planner.hpp>

namespace daleshelf
{

/// Plans the number of upstreams of each scalable service, and sends the
/// platform orders where the plan differs from earlier orders.
class scale_service
{
public:
    scale_service(gateway_state& state, peer_exchange& peers,
                  duty_service& duties);

    void start();

private:
    /// Upstreams of one service, hall and purchase kind (spot or on demand).
    struct upstream_group
    {
        service_name service;
        hall_id hall;
        bool is_spot = false;

        friend auto operator<=>(const upstream_group&,
                                const upstream_group&) = default;
    };

    struct order_state
    {
        int count = unknown_order_count;
        absl::Time ordered_at = absl::InfinitePast();
        absl::Time lower_since = absl::InfiniteFuture();
        absl::Time unavailable_until = absl::InfinitePast();
    };

    /// How many upstreams a group is to have.
    struct wanted_order
    {
        upstream_group group;
        int count = 0;
    };

    /// One order and the response of the platform.
    struct sent_order
    {
        upstream_group group;
        int count = 0;
        int status = 0;
        std::int64_t token = 0; ///< fencing token of the order
    };

    /// Observed demand and fleet of one scalable service.
    struct service_demand
    {
        demand_meter meter;
        initial_fleet fleet;
        /// When demand was first seen.
        absl::Time demand_since = absl::InfiniteFuture();
    };

    awaitable<void> run();
    awaitable<void> order_all();
    awaitable<void> place_order(const ingress_service& service,
                                const server_need& need,
                                removal_budget& removals,
                                const wanted_order& wanted);
    [[nodiscard]] removal_budget removal_for(const service_name& service,
                                             const server_need& need) const;
    [[nodiscard]] int retained_servers(const upstream_group& group) const;
    [[nodiscard]] bool is_due(order_state& known, int count,
                              absl::Time now) const;
    [[nodiscard]] bool has_lost_servers(const upstream_group& group,
                                        const order_state& known,
                                        absl::Time started_by) const;
    /// @return number of upstreams of the group that are listed and do not
    /// drain
    [[nodiscard]] int present_servers(const upstream_group& group) const;
    [[nodiscard]] server_need need_of(const ingress_service& service) const;
    [[nodiscard]] server_need
    measured_need(const ingress_service& service) const;
    [[nodiscard]] std::vector<double>
    limits_of(const service_name& service) const;
    [[nodiscard]] double gap_objective_ms(const service_name& service) const;
    [[nodiscard]] bool can_order(const service_name& service) const;
    [[nodiscard]] bool is_demand_known(const service_name& service) const;
    void update_demand();
    void update_demand(const ingress_service& service, absl::Time now);
    void log_order(const server_need& need, const sent_order& sent) const;

    gateway_state& m_state;
    peer_exchange& m_peers;
    duty_service& m_duties;
    http_caller m_platform;
    std::map<service_name, service_demand> m_services;
    std::map<upstream_group, order_state> m_orders;
};

} // namespace daleshelf
