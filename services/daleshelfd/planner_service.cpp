#include "planner_service.hpp"

#include "configuration_follower.hpp"
#include "control_thread.hpp"
#include "node_state.hpp"

#include <absl/time/clock.h>

#include <array>
#include <base/digest.hpp>
#include <base/json.hpp>
#include <telemetry/log.hpp>
#include <utility>
#include <variant>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds long_poll{2000};
constexpr std::chrono::milliseconds no_wait{0};
constexpr absl::Duration tick_interval = absl::Milliseconds(100);
constexpr absl::Duration plan_interval = absl::Seconds(1);
constexpr absl::Duration ready_interval = absl::Milliseconds(200);
constexpr absl::Duration longest_load = absl::Minutes(10);
// Until every host has stopped to send what is to be unloaded.
constexpr absl::Duration unload_delay = absl::Seconds(5);
constexpr std::size_t change_id_bytes = 8;

} // namespace

planner_service::planner_service(control_thread& control, node_state& node,
                                 log_client& log,
                                 configuration_follower& follower,
                                 order_client& orders, cloud_client& cloud,
                                 std::string stream)
    : m_control(control)
    , m_node(node)
    , m_log(log)
    , m_follower(follower)
    , m_orders(orders)
    , m_cloud(cloud)
    , m_stream(std::move(stream))
    , m_keeper(lease_name("planner/" + node.hall().value()), node.host(),
               incarnation(absl::ToUnixMicros(absl::Now())), lease_options(),
               stable_hash(node.host().value()))
    , m_requester(node.hall(), random_hex(change_id_bytes),
                  host_request_options(), stable_hash(node.host().value()))
{
}

void planner_service::start()
{
    m_control.post([this] { tick(); });
}

void planner_service::release()
{
    m_control.post([this] { m_keeper.release(); });
}

void planner_service::tick()
{
    const auto now = absl::Now();
    perform(m_keeper.on_tick(now));
    m_node.set_planner(m_keeper.held(now).has_value());
    const bool may_plan = m_keeper.last_token() && !m_is_ordering;
    if (may_plan && now >= m_next_plan)
    {
        m_next_plan = now + plan_interval;
        plan();
    }
    m_control.after(tick_interval, [this] { tick(); });
}

void planner_service::perform(const lease_actions& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* read = std::get_if<read_leases>(&action))
        {
            m_log.read(m_stream, read->from,
                       read->may_wait ? long_poll : no_wait,
                       [this](log_read_result result)
                       {
                           m_control.post(
                               [this, result = std::move(result)]
                               { m_keeper.on_records(result, absl::Now()); });
                       });
            continue;
        }
        m_log.append(m_stream, std::get<append_lease>(action).data,
                     [this](const log_append_result& result)
                     {
                         m_control.post(
                             [this, result]
                             { m_keeper.on_appended(result, absl::Now()); });
                     });
    }
}

void planner_service::plan()
{
    const auto config = m_node.current_configuration();
    std::vector<placement_upstream> upstreams;
    for (const auto& entry : config->upstreams())
    {
        const bool is_meant = entry->type == upstream_entry::kind::engine &&
                              entry->hall == m_node.hall();
        if (is_meant)
        {
            const auto load = m_node.loads().load(entry->id);
            upstreams.push_back(
                {entry, !load.is_leaving && load.failed_until < absl::Now()});
        }
    }
    const auto planned =
        plan_placement(*config, m_node.hall(), upstreams, demand_table());
    for (const auto& name : planned.short_of_upstreams)
    {
        log(events::upstreams_short, {{"deployment", name}});
    }
    request_hosts(!planned.short_of_upstreams.empty());
    if (!planned.orders.empty())
    {
        begin(planned.orders.front());
    }
}

/// The token to give an order with, or nothing if none may be given: towards
/// an engine that does not check tokens only while the lease surely holds.
std::optional<fencing_token>
planner_service::token_for(const upstream_entry& upstream)
{
    const auto held = m_keeper.held(absl::Now());
    if (held || !upstream.is_fencing_checked)
    {
        return held;
    }
    return m_keeper.last_token();
}

void planner_service::begin(const placement_order& order)
{
    const auto config = m_node.current_configuration();
    const auto* upstream = config->find_upstream(order.upstream);
    if (upstream == nullptr)
    {
        return;
    }
    m_is_ordering = true;
    if (order.what == placement_order::action::load)
    {
        load(*upstream, order.model);
        return;
    }
    unload(*upstream, order.model);
}

void planner_service::load(const upstream_entry& upstream,
                           const std::string& model)
{
    const auto token = token_for(upstream);
    if (!token)
    {
        finish_order();
        return;
    }
    log(events::order_given, {{"upstream", upstream.id.value()},
                              {"order", "load_model"},
                              {"model", model},
                              {"token", token->value()}});
    m_orders.give(upstream.url, {"load_model", model, *token},
                  [this, upstream, model](order_outcome outcome)
                  {
                      m_control.post(
                          [this, upstream, model, outcome]
                          {
                              if (outcome == order_outcome::stale)
                              {
                                  log(events::order_refused,
                                      {{"upstream", upstream.id.value()}});
                                  finish_order();
                                  return;
                              }
                              // An order whose answer was lost shows in what is
                              // held.
                              wait_until_ready(upstream, model,
                                               absl::Now() + longest_load);
                          });
                  });
}

void planner_service::wait_until_ready(const upstream_entry& upstream,
                                       const std::string& model,
                                       absl::Time deadline)
{
    m_orders.ask_ready(
        upstream.url, model,
        [this, upstream, model, deadline](bool is_ready)
        {
            m_control.post(
                [this, upstream, model, deadline, is_ready]
                {
                    if (is_ready)
                    {
                        set_models(upstream.id, model, true,
                                   [this](bool) { finish_order(); });
                        return;
                    }
                    const bool is_over =
                        absl::Now() > deadline ||
                        m_node.loads().load(upstream.id).is_leaving ||
                        !m_keeper.last_token();
                    if (is_over)
                    {
                        finish_order();
                        return;
                    }
                    m_control.after(
                        ready_interval, [this, upstream, model, deadline]
                        { wait_until_ready(upstream, model, deadline); });
                });
        });
}

void planner_service::unload(const upstream_entry& upstream,
                             const std::string& model)
{
    set_models(upstream.id, model, false,
               [this, upstream, model](bool is_accepted)
               {
                   if (!is_accepted)
                   {
                       finish_order();
                       return;
                   }
                   m_control.after(unload_delay,
                                   [this, upstream, model]
                                   {
                                       const auto token = token_for(upstream);
                                       if (token)
                                       {
                                           m_orders.give(
                                               upstream.url,
                                               {"unload_model", model, *token},
                                               [](order_outcome) {});
                                       }
                                       finish_order();
                                   });
               });
}

/// Puts on record what an upstream holds, unless somebody else has changed it.
void planner_service::set_models(const upstream_id& upstream,
                                 const std::string& model, bool is_held,
                                 std::function<void(bool)> on_done)
{
    const auto config = m_node.current_configuration();
    const resource_key key{resource_kind::upstream, upstream.value()};
    const auto found = config->resources().find(key);
    if (found == config->resources().end())
    {
        on_done(false);
        return;
    }
    change_operation operation;
    operation.key = key;
    operation.expected_version = found->second->version;
    operation.body = found->second->body;
    boost::json::array models;
    if (const auto* present = find_array(operation.body, "models"))
    {
        for (const auto& item : *present)
        {
            if (item.as_string() != model)
            {
                models.push_back(item);
            }
        }
    }
    if (is_held)
    {
        models.push_back(boost::json::string(model));
    }
    operation.body["models"] = std::move(models);
    const auto report = [done = std::move(on_done)](bool is_accepted)
    { done(is_accepted); };
    m_follower.propose(
        {change_id("planner-" + random_hex(change_id_bytes)), {operation}},
        [report](const change_outcome& outcome)
        { report(outcome.what == change_outcome::state::accepted); },
        [report] { report(false); });
}

/// Hosts cost money: asked for only while the lease surely holds.
void planner_service::request_hosts(bool is_short)
{
    const auto now = absl::Now();
    if (!m_keeper.held(now))
    {
        return;
    }
    const auto action = m_requester.on_tick(is_short, now);
    if (!action)
    {
        return;
    }
    const auto take = [this](const host_order_result& result)
    { m_control.post([this, result] { take_host_result(result); }); };
    if (action->what == host_request_action::kind::look_up)
    {
        m_cloud.find_host(action->token, take);
        return;
    }
    log(events::host_ordered,
        {{"token", action->token},
         {"reclaimable", action->is_reclaimable ? "true" : "false"}});
    m_cloud.start_host({action->token, m_node.hall(), action->is_reclaimable},
                       take);
}

void planner_service::take_host_result(const host_order_result& result)
{
    using taker = void (host_requester::*)(absl::Time);
    static constexpr std::array<taker, 4> takers{
        &host_requester::on_started, &host_requester::on_refused,
        &host_requester::on_unknown, &host_requester::on_absent};
    const auto take = takers.at(static_cast<std::size_t>(result.what));
    (m_requester.*take)(absl::Now());
}

void planner_service::finish_order()
{
    m_is_ordering = false;
}

} // namespace daleshelf
