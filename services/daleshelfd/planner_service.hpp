/// @file
/// The planner of this host's hall, if this host holds the lease.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <leases/lease_keeper.hpp>
#include <optional>
#include <placement/host_requester.hpp>
#include <placement/placement_plan.hpp>
#include <platform/cloud_client.hpp>
#include <platform/log_client.hpp>
#include <string>
#include <upstreams/order_client.hpp>

namespace daleshelf
{

class configuration_follower;
class control_thread;
class node_state;

/// Holds the hall's lease where it can, and then gives orders to engines, one
/// at a time. All of it runs on the control thread.
class planner_service
{
public:
    /// All references must outlive this object.
    /// @param control runs all of this; stopped before this object goes
    /// @param node configuration and loads
    /// @param log the platform's log
    /// @param follower takes the changes of what upstreams hold
    /// @param orders gives orders to engines
    /// @param cloud orders hosts
    /// @param stream the stream that holds the leases
    planner_service(control_thread& control, node_state& node, log_client& log,
                    configuration_follower& follower, order_client& orders,
                    cloud_client& cloud, std::string stream);

    /// Starts to follow the stream.
    void start();

    /// Gives the lease up; called when the host is to go.
    void release();

private:
    void tick();
    void perform(const lease_actions& actions);
    void plan();
    std::optional<fencing_token> token_for(const upstream_entry& upstream);
    void begin(const placement_order& order);
    void load(const upstream_entry& upstream, const std::string& model);
    void wait_until_ready(const upstream_entry& upstream,
                          const std::string& model, absl::Time deadline);
    void unload(const upstream_entry& upstream, const std::string& model);
    void set_models(const upstream_id& upstream, const std::string& model,
                    bool is_held, std::function<void(bool)> on_done);
    void request_hosts(bool is_short);
    void take_host_result(const host_order_result& result);
    void finish_order();

    control_thread& m_control;
    node_state& m_node;
    log_client& m_log;
    configuration_follower& m_follower;
    order_client& m_orders;
    cloud_client& m_cloud;
    std::string m_stream;
    lease_keeper m_keeper;
    host_requester m_requester;
    bool m_is_ordering = false;
    absl::Time m_next_plan = absl::InfinitePast();
};

} // namespace daleshelf
