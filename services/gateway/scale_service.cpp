#include "scale_service.hpp"

#include <base/http_status.hpp>
#include <cmath>
#include <platform/duty_calls.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds planning_interval{500};
constexpr absl::Duration demand_peak_window = absl::Seconds(8);
// The count is lowered only after the need has been lower for this long.
constexpr absl::Duration scale_in_delay = absl::Seconds(8);
constexpr absl::Duration conflict_back_off = absl::Seconds(4);
// Before any demand is known, the fleet that the operator has set up is assumed
// to be ample: these fractions of it count as the usual and the minimum need.
constexpr double assumed_usual_fraction = 0.5;
constexpr double assumed_minimum_fraction = 0.33;
// Where slots run out, a fleet that was reduced before its first demand rejects
// and delays requests for as long as upstreams boot: it is kept as it is.
constexpr double usual_fraction_with_headroom = 1;
constexpr double minimum_fraction_with_headroom = 0.5;
// Demand counts as known this long after it was first seen.
constexpr absl::Duration learning_time = absl::Seconds(8);
// Longer than the interval at which upstreams appear in the list one by one.
constexpr absl::Duration list_settle_time = absl::Milliseconds(2500);

} // namespace

scale_service::scale_service(gateway_state& state, peer_exchange& peers,
                             duty_service& duties)
    : m_state(state)
    , m_peers(peers)
    , m_duties(duties)
    , m_platform(state.context, state.settings.duties_address)
{
}

void scale_service::start()
{
    if (m_state.settings.duties_address.empty() ||
        !m_state.settings.orders_servers)
    {
        return;
    }
    asio::co_spawn(
        m_state.context, [this] { return run(); }, asio::detached);
}

awaitable<void> scale_service::run()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(planning_interval);
        co_await timer.async_wait(use_result);
        update_demand();
        if (!m_duties.fencing_token())
        {
            // The next holder of the duties may place different orders.
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
        if (!service.scaling.is_scalable || !can_order(service.name))
        {
            continue;
        }
        const auto now = gateway_state::now();
        std::map<hall_id, int> spot_limit;
        for (const auto& [group, known] : m_orders)
        {
            if (group.service == service.name && now < known.unavailable_until)
            {
                // Reclaimed spot upstreams are not available again yet.
                spot_limit[group.hall] = present_servers(group);
            }
        }
        const scale_options options{
            static_cast<int>(m_state.settings.least_on_demand),
            static_cast<int>(m_state.settings.spare_halls),
            m_state.settings.dry_part};
        const auto need = need_of(service);
        const auto plan =
            plan_servers(service.scaling, need, spot_limit, options);
        auto removals = removal_for(service.name, need);
        for (const auto& [hall, target] : plan)
        {
            // Spot orders first: they start while the others still serve.
            const wanted_order spot{{service.name, hall, true}, target.spot};
            co_await place_order(service, need, removals, spot);
            const wanted_order on_demand{{service.name, hall, false},
                                         target.on_demand};
            co_await place_order(service, need, removals, on_demand);
        }
    }
}

// @param service the configuration that the plan was made for; a newer one may
// arrive during the call
awaitable<void> scale_service::place_order(const ingress_service& service,
                                           const server_need& need,
                                           removal_budget& removals,
                                           const wanted_order& wanted)
{
    const auto& group = wanted.group;
    auto count = wanted.count;
    const auto [entry, is_new] = m_orders.try_emplace(group);
    auto& known = entry->second;
    const auto now = gateway_state::now();
    if (is_new && is_demand_known(service.name))
    {
        known.count = assumed_order_count(present_servers(group), count);
    }
    const auto boot_time = absl::FromChrono(service.scaling.boot_time);
    if (has_lost_servers(group, known, now - loss_timeout(boot_time)))
    {
        known.count = unknown_order_count;
    }
    if (!is_due(known, count, now))
    {
        co_return;
    }
    if (count < known.count)
    {
        count = removals.reduce_towards(retained_servers(group), count);
        if (count >= known.count)
        {
            co_return;
        }
    }
    auto call =
        platform::scale_call({group.service, group.hall, count, group.is_spot});
    const auto response =
        co_await m_duties.call_as_holder(m_platform, std::move(call));
    if (!response)
    {
        co_return;
    }
    const auto status = response->status;
    if (status == http_status::conflict)
    {
        known.unavailable_until = gateway_state::now() + conflict_back_off;
    }
    else if (status >= http_status::ok && status < http_status::bad_request)
    {
        known.count = count;
        known.ordered_at = gateway_state::now();
        known.lower_since = absl::InfiniteFuture();
    }
    log_order(need, {group, count, status, response->token});
}

void scale_service::log_order(const server_need& need,
                              const sent_order& sent) const
{
    const auto& group = sent.group;
    const auto load = m_services.at(group.service).meter.peak();
    const auto& models = m_state.engines.all();
    const auto model = models.find(group.service);
    const auto engine = model == models.end() ? engine_estimate{}
                                              : model->second.pooled_estimate();
    log(events::servers_ordered,
        {{"service", group.service.value()},
         {"hall", group.hall.value()},
         {"kind", group.is_spot ? "spot" : "on_demand"},
         {"count", std::to_string(sent.count)},
         {"usual", std::to_string(need.preferred)},
         {"least", std::to_string(need.minimum)},
         {"prompts_per_s", std::to_string(load.prompts)},
         {"read_tokens_per_s", std::to_string(load.read_tokens)},
         {"read_ms_per_token", std::to_string(engine.read_ms_per_token)},
         {"first_ms", std::to_string(engine.first_ms)},
         {"generation_ms_per_token",
          std::to_string(engine.generation_ms_per_token)},
         {"gap_ms", std::to_string(engine.gap_ms)},
         {"gap_ms_per_generation",
          std::to_string(engine.gap_ms_per_generation)},
         {"doubtful_part", std::to_string(engine.doubtful_part)},
         {"peers_part", std::to_string(engine.peers_part)},
         {"prompts_seen", std::to_string(engine.prompts)},
         {"status", std::to_string(sent.status)},
         {"token", std::to_string(sent.token)}});
}

bool scale_service::is_due(order_state& known, int count, absl::Time now) const
{
    if (now < known.unavailable_until || count == known.count)
    {
        known.lower_since = absl::InfiniteFuture();
        return false;
    }
    if (count > known.count)
    {
        return true;
    }
    known.lower_since = std::min(known.lower_since, now);
    return now - known.lower_since >= scale_in_delay;
}

// @param started_by upstreams ordered before this time should have started
// @return whether fewer upstreams are present than were ordered by then
bool scale_service::has_lost_servers(const upstream_group& group,
                                     const order_state& known,
                                     absl::Time started_by) const
{
    if (known.count <= 0 || known.ordered_at > started_by)
    {
        return false;
    }
    return present_servers(group) < known.count;
}

// Number of upstreams that are present, without those that a placed order
// removes.
int scale_service::retained_servers(const upstream_group& group) const
{
    const auto present = present_servers(group);
    const auto known = m_orders.find(group);
    const bool is_ordered = known != m_orders.end() && known->second.count >= 0;
    return is_ordered ? std::min(present, known->second.count) : present;
}

removal_budget scale_service::removal_for(const service_name& service,
                                          const server_need& need) const
{
    int staying = 0;
    for (const auto& [hall, price] :
         m_state.routes->find_service(service)->scaling.hall_prices)
    {
        staying += retained_servers({service, hall, true}) +
                   retained_servers({service, hall, false});
    }
    return {staying, need.preferred};
}

int scale_service::present_servers(const upstream_group& group) const
{
    int present = 0;
    for (const auto& [hash, server] : m_state.servers.usable(group.service))
    {
        if (server->hall == group.hall && server->is_spot == group.is_spot)
        {
            ++present;
        }
    }
    return present;
}

void scale_service::update_demand()
{
    if (m_state.routes == nullptr || !m_state.has_servers)
    {
        return;
    }
    const auto now = gateway_state::now();
    for (const auto& service : m_state.routes->configuration().services)
    {
        if (service.scaling.is_scalable)
        {
            update_demand(service, now);
        }
    }
}

void scale_service::update_demand(const ingress_service& service,
                                  absl::Time now)
{
    const service_demand initial{demand_meter(demand_peak_window),
                                 initial_fleet(list_settle_time)};
    auto& known = m_services.try_emplace(service.name, initial).first->second;
    known.meter.update(m_peers.fleet_work(service.name), now);
    if (known.meter.peak().prompts > 0)
    {
        known.demand_since = std::min(known.demand_since, now);
    }
    const auto present = m_state.servers.usable_count(service.name);
    known.fleet.update(static_cast<int>(present), now);
}

bool scale_service::is_demand_known(const service_name& service) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() &&
           known->second.demand_since + learning_time < gateway_state::now();
}

// An order that is placed while the list of upstreams is still filling would
// remove upstreams that are not listed yet.
bool scale_service::can_order(const service_name& service) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() &&
           (known->second.fleet.has_settled(gateway_state::now()) ||
            is_demand_known(service));
}

server_need scale_service::need_of(const ingress_service& service) const
{
    auto need = measured_need(service);
    const auto known = m_services.find(service.name);
    if (is_demand_known(service.name) || known == m_services.end())
    {
        return need;
    }
    const auto fleet_part = [&](double part)
    {
        return static_cast<int>(
            std::ceil(known->second.fleet.server_count() * part));
    };
    const bool has_headroom = m_state.models_headroom(service);
    need.preferred = std::max(
        need.preferred, fleet_part(has_headroom ? usual_fraction_with_headroom
                                                : assumed_usual_fraction));
    need.minimum = std::max(
        need.minimum, fleet_part(has_headroom ? minimum_fraction_with_headroom
                                              : assumed_minimum_fraction));
    return need;
}

server_need scale_service::measured_need(const ingress_service& service) const
{
    const auto known = m_services.find(service.name);
    if (known == m_services.end())
    {
        return {};
    }
    const auto& models = m_state.engines.all();
    const auto model = models.find(service.name);
    const auto load = m_state.loads.find(service.name);
    capacity_options options;
    options.slots = service.engine_slots;
    options.gap_objective_ms = gap_objective_ms(service.name);
    options.late_part = m_state.settings.late_part;
    options.server_limit = service.scaling.max_servers *
                           static_cast<int>(service.scaling.hall_prices.size());
    const auto peak = known->second.meter.peak();
    auto need = servers_needed(
        peak,
        model == models.end() ? engine_estimate{}
                              : model->second.pooled_estimate(),
        load == m_state.loads.end() ? std::vector<prompt_sample>{}
                                    : load->second.samples.all(),
        options);
    need.preferred =
        std::min(std::max(need.preferred, options.server_limit),
                 need.preferred + limit_shortfall(peak, need.preferred,
                                                  limits_of(service.name)));
    return need;
}

std::vector<double> scale_service::limits_of(const service_name& service) const
{
    std::vector<double> limits;
    for (const auto& [hash, server] : m_state.servers.usable(service))
    {
        if (const auto limit = m_state.limits.limit_of(server->incarnation()))
        {
            limits.push_back(*limit);
        }
    }
    return limits;
}

// @return the shortest gap objective among the routes of the service, in ms; 0:
// none
double scale_service::gap_objective_ms(const service_name& service) const
{
    double shortest = 0;
    for (const auto& route : m_state.routes->configuration().routes)
    {
        const auto gap = static_cast<double>(route.gap_objective.count());
        for (const auto& target : route.targets)
        {
            const bool is_shorter = shortest == 0 || gap < shortest;
            if (target.service == service && gap > 0 && is_shorter)
            {
                shortest = gap;
            }
        }
    }
    return shortest;
}

} // namespace daleshelf
