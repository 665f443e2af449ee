/// @file
/// Orders servers as the duty of one gateway at a time.
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

/// Plans the servers of each service that can be scaled, and orders what
/// differs from what it has ordered before.
class scale_service
{
public:
    scale_service(gateway_state& state, peer_exchange& peers,
                  duty_service& duties);

    void start();

private:
    /// What an order is about.
    struct order_subject
    {
        service_name service;
        hall_id hall;
        bool is_spot = false;

        friend auto operator<=>(const order_subject&,
                                const order_subject&) = default;
    };

    struct order_state
    {
        int count = unknown_order_count;
        absl::Time ordered_at = absl::InfinitePast();
        absl::Time lower_since = absl::InfiniteFuture();
        absl::Time dry_until = absl::InfinitePast();
    };

    /// How many servers a subject is to have.
    struct order_wanted
    {
        order_subject subject;
        int count = 0;
    };

    /// One order and how the platform has answered it.
    struct order_sent
    {
        order_subject subject;
        int count = 0;
        int status = 0;
        std::int64_t token = 0; ///< the fence that it went with
    };

    /// What is known of one service that can be scaled.
    struct service_demand
    {
        demand_meter meter;
        initial_fleet fleet;
        absl::Time since = absl::InfiniteFuture(); ///< of the first demand
    };

    awaitable<void> run();
    awaitable<void> order_all();
    awaitable<void> order(const ingress_service& service,
                          const server_need& need, removal_budget& removes,
                          const order_wanted& wanted);
    [[nodiscard]] removal_budget removal_for(const service_name& service,
                                             const server_need& need) const;
    [[nodiscard]] int staying_servers(const order_subject& subject) const;
    [[nodiscard]] bool is_due(order_state& known, int count,
                              absl::Time now) const;
    [[nodiscard]] bool has_lost_servers(const order_subject& subject,
                                        const order_state& known,
                                        absl::Time started_by) const;
    /// @return servers of that kind that are listed and do not leave
    [[nodiscard]] int present_servers(const order_subject& subject) const;
    [[nodiscard]] server_need need_of(const ingress_service& service) const;
    [[nodiscard]] server_need
    measured_need(const ingress_service& service) const;
    [[nodiscard]] std::vector<double>
    limits_of(const service_name& service) const;
    [[nodiscard]] double gap_objective_ms(const service_name& service) const;
    [[nodiscard]] bool may_order(const service_name& service) const;
    [[nodiscard]] bool is_demand_known(const service_name& service) const;
    void note_demand();
    void note_demand(const ingress_service& service, absl::Time now);
    void log_order(const server_need& need, const order_sent& sent) const;

    gateway_state& m_state;
    peer_exchange& m_peers;
    duty_service& m_duties;
    http_caller m_platform;
    std::map<service_name, service_demand> m_services;
    std::map<order_subject, order_state> m_orders;
};

} // namespace daleshelf
