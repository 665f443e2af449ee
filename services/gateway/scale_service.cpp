#include "scale_service.hpp"

#include <base/http_status.hpp>
#include <platform/duty_calls.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds tick{500};
constexpr absl::Duration demand_memory = absl::Seconds(8);
// Fewer servers are ordered only after the need has been lower for this long.
constexpr absl::Duration patience = absl::Seconds(8);
// Longer than a server takes to start.
constexpr absl::Duration replace_time = absl::Seconds(7);
constexpr absl::Duration dry_time = absl::Seconds(4);
// Before any demand is known, this share of the servers that are there counts
// as busy: the operator has sized them for more than the usual.
constexpr double assumed_busy_share = 0.33;
constexpr double least_busy = 1;
constexpr double total_factor_while_cold = 3.2;
// Demand is known once there has been some for this long.
constexpr absl::Duration learning_time = absl::Seconds(8);
// Longer than servers take to be listed one after the other.
constexpr absl::Duration list_settle_time = absl::Milliseconds(2500);

} // namespace

scale_service::scale_service(gateway_state& state, peer_exchange& peers,
                             duty_service& duties)
    : m_state(state)
    , m_peers(peers)
    , m_duties(duties)
    , m_platform(state.context, state.settings.duties_address)
    , m_demand(demand_memory)
{
}

void scale_service::start()
{
    if (m_state.settings.duties_address.empty())
    {
        return;
    }
    asio::co_spawn(
        m_state.context, [this] { return run(); }, asio::detached);
}

awaitable<void> scale_service::run()
{
    asio::steady_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(tick);
        co_await timer.async_wait(use_result);
        note_demand();
        if (!m_duties.token())
        {
            // Whoever holds the duties next may order something else.
            m_orders.clear();
            continue;
        }
        if (m_state.routes != nullptr && m_state.has_servers)
        {
            co_await order_all();
        }
    }
}

awaitable<void> scale_service::order_all()
{
    const auto routes = m_state.routes;
    for (const auto& service : routes->configuration().services)
    {
        if (!service.scaling.is_scalable || !may_order(service.name))
        {
            continue;
        }
        const auto now = gateway_state::now();
        std::map<hall_id, int> spot_limit;
        for (const auto& [subject, known] : m_orders)
        {
            if (subject.service == service.name && now < known.dry_until)
            {
                spot_limit[subject.hall] = std::max(0, known.count);
            }
        }
        const auto plan =
            plan_servers(service.scaling, busy_servers(service.name),
                         spot_limit, options_now());
        for (const auto& [hall, target] : plan)
        {
            // Spot first: they come while the others still serve.
            const order_subject spot{service.name, hall, true};
            co_await order(spot, target.spot);
            const order_subject on_demand{service.name, hall, false};
            co_await order(on_demand, target.on_demand);
        }
    }
}

awaitable<void> scale_service::order(const order_subject& subject, int count)
{
    auto& known = m_orders[subject];
    const auto now = gateway_state::now();
    if (has_lost_servers(subject, known, now))
    {
        known.count = -1;
    }
    if (!is_due(known, count, now))
    {
        co_return;
    }
    auto call = platform::scale_call(
        {subject.service, subject.hall, count, subject.is_spot});
    const auto answer = co_await m_duties.call(m_platform, std::move(call));
    if (!answer)
    {
        co_return;
    }
    const auto status = answer->status;
    if (status == http_status::conflict)
    {
        known.dry_until = gateway_state::now() + dry_time;
    }
    else if (status >= http_status::ok && status < http_status::bad_request)
    {
        known.count = count;
        known.ordered_at = gateway_state::now();
        known.lower_since = absl::InfiniteFuture();
    }
    log(events::servers_ordered,
        {{"service", subject.service.value()},
         {"hall", subject.hall.value()},
         {"kind", subject.is_spot ? "spot" : "on_demand"},
         {"count", std::to_string(count)},
         {"busy", std::to_string(m_demand.busy())},
         {"status", std::to_string(status)},
         {"token", std::to_string(answer->token)}});
}

bool scale_service::is_due(order_state& known, int count, absl::Time now) const
{
    if (now < known.dry_until || count == known.count)
    {
        known.lower_since = absl::InfiniteFuture();
        return false;
    }
    if (count > known.count)
    {
        return true;
    }
    known.lower_since = std::min(known.lower_since, now);
    return now - known.lower_since >= patience;
}

// Servers that were taken away, or are lost for good, do not come back by
// themselves.
// @return whether fewer are there than were ordered, though they have had the
// time to start
bool scale_service::has_lost_servers(const order_subject& subject,
                                     const order_state& known,
                                     absl::Time now) const
{
    if (known.count <= 0 || now - known.ordered_at < replace_time)
    {
        return false;
    }
    int present = 0;
    for (const auto* server : m_state.servers.usable(subject.service))
    {
        if (server->hall == subject.hall && server->is_spot == subject.is_spot)
        {
            ++present;
        }
    }
    return present < known.count;
}

// While caches are cold, prompts are read whole: spot servers bear that.
scale_options scale_service::options_now() const
{
    scale_options options;
    if (m_demand_since + learning_time >= gateway_state::now())
    {
        options.total_factor = total_factor_while_cold;
    }
    return options;
}

void scale_service::note_demand()
{
    const auto now = gateway_state::now();
    m_demand.note(m_peers.work_of_all(), now);
    if (m_demand.busy() > 0)
    {
        m_demand_since = std::min(m_demand_since, now);
    }
    if (m_state.routes == nullptr || !m_state.has_servers)
    {
        return;
    }
    for (const auto& service : m_state.routes->configuration().services)
    {
        const auto present = m_state.servers.usable(service.name).size();
        m_fleets.try_emplace(service.name, list_settle_time)
            .first->second.note(static_cast<int>(present), now);
    }
}

bool scale_service::is_demand_known() const
{
    return m_demand_since + learning_time < gateway_state::now();
}

// An order made while the list of servers is still filling would take away
// servers that are not listed yet.
bool scale_service::may_order(const service_name& service) const
{
    const auto fleet = m_fleets.find(service);
    const bool has_settled = fleet != m_fleets.end() &&
                             fleet->second.has_settled(gateway_state::now());
    return has_settled || is_demand_known();
}

double scale_service::busy_servers(const service_name& service) const
{
    const auto measured = std::max(least_busy, m_demand.busy());
    const auto fleet = m_fleets.find(service);
    if (is_demand_known() || fleet == m_fleets.end())
    {
        return measured;
    }
    return std::max(measured, fleet->second.servers() * assumed_busy_share);
}

} // namespace daleshelf
