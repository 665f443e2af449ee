#include "headroom_service.hpp"

#include <algorithm>
#include <load_sharing/table_lifetime.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds exchange_interval{250};
constexpr int jitter_ms = 20;
// Reported slowdowns below it are within the noise of single intervals.
constexpr double min_reported_slowdown = 1.5;
constexpr absl::Duration log_interval = absl::Seconds(1);
// Requests in flight for each slot before workspaces are limited: a fifth of
// the requests waits for a fifth of a response's time, which is within the
// objective of the first event.
constexpr double queueing_factor = 1.2;
// Bounds of the error of estimated slot times.
constexpr double min_calibration = 0.2;
constexpr double max_calibration = 1;
// Averages over two seconds of ticks, as long as a response takes.
constexpr double calibration_gain = 0.12;

} // namespace

headroom_service::headroom_service(gateway_state& state, peer_exchange& peers)
    : m_state(state)
    , m_peers(peers)
    , m_exchange(state.self, state.hall, state.own_incarnation)
{
    peers.set_load_listener(
        [this](std::string_view bytes)
        { send(m_exchange.receive(bytes, gateway_state::now())); });
}

void headroom_service::start()
{
    if (m_state.settings.min_slot_tokens > 0)
    {
        asio::co_spawn(
            m_state.context, [this] { return run(); }, asio::detached);
    }
}

awaitable<void> headroom_service::run()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(
            exchange_interval +
            milliseconds(absl::Uniform(m_state.random, 0, jitter_ms)));
        co_await timer.async_wait(use_result);
        m_state.choice.loads().run_maintenance(gateway_state::now());
        if (!is_needed())
        {
            continue;
        }
        send(m_exchange.tick(own_report(), peers_in_contact(),
                             gateway_state::now()));
        apply_shared_loads();
        log_shortage();
    }
}

void headroom_service::send(const std::vector<load_datagram>& datagrams)
{
    for (const auto& datagram : datagrams)
    {
        m_peers.send_to_host(datagram.to, datagram.bytes);
    }
}

bool headroom_service::is_needed() const
{
    const bool is_used =
        m_state.settings.shares_loads || m_state.settings.shares_fairly;
    if (m_state.routes == nullptr || !is_used)
    {
        return false;
    }
    const auto& services = m_state.routes->configuration().services;
    return std::any_of(services.begin(), services.end(),
                       [this](const auto& service)
                       { return m_state.models_headroom(service); });
}

bool headroom_service::is_modelled(const service_name& name) const
{
    const auto* service = m_state.routes->find_service(name);
    return service != nullptr && m_state.models_headroom(*service);
}

shared_loads headroom_service::own_report()
{
    const auto now = gateway_state::now();
    shared_loads report;
    for (const auto& [server, load] : m_state.choice.loads().own_loads())
    {
        const auto* entry = m_state.servers.find(server);
        if (load.active <= 0 || entry == nullptr ||
            !is_modelled(entry->service))
        {
            continue;
        }
        // Prompts are prefilled within a tick or two: how many tokens were
        // queued says nothing by the time that it is known elsewhere.
        report.loads[server] = {load.active, 0, load.memory_tokens};
        const auto speed =
            m_state.choice.speeds().estimate(entry->incarnation(), now);
        if (m_state.settings.shares_loads &&
            speed.recent >= min_reported_slowdown)
        {
            report.slowdowns[server] = speed.recent;
        }
    }
    report.demand = m_state.demand.rates(now);
    return report;
}

std::vector<load_peer> headroom_service::peers_in_contact() const
{
    const auto now = gateway_state::now();
    std::vector<load_peer> peers;
    for (const auto& [name, peer] : m_peers.table().peers())
    {
        if (m_peers.table().is_reachable(name, now) && !peer.state.is_stopping)
        {
            peers.push_back({name, peer.state.hall});
        }
    }
    return peers;
}

void headroom_service::apply_shared_loads()
{
    const auto now = gateway_state::now();
    auto others = m_exchange.others(now);
    if (!others)
    {
        return;
    }
    const auto received_at = m_exchange.received_at(now);
    update_shares(*others, received_at);
    if (!m_state.settings.shares_loads)
    {
        return;
    }
    for (const auto& [server, slowdown] : others->slowdowns)
    {
        const auto* entry = m_state.servers.find(server);
        if (entry != nullptr)
        {
            m_state.choice.speeds().set_reported_slowdown(
                entry->incarnation(), slowdown, received_at);
        }
    }
    // An engine that is missing from the table has no requests of others.
    for (const auto& service : m_state.routes->configuration().services)
    {
        if (!m_state.models_headroom(service))
        {
            continue;
        }
        for (const auto& server : m_state.servers.usable(service.name))
        {
            others->loads.try_emplace(server.entry->id);
        }
    }
    m_state.choice.loads().set_shared_loads(std::move(others->loads),
                                            received_at + table_lifetime);
}

void headroom_service::update_shares(const shared_loads& others,
                                     absl::Time received_at)
{
    const auto now = gateway_state::now();
    auto demand = m_state.demand.rates(now);
    demand.insert(demand.end(), others.demand.begin(), others.demand.end());
    for (const auto& service : m_state.routes->configuration().services)
    {
        if (!m_state.models_headroom(service))
        {
            continue;
        }
        const auto capacity = capacity_of(service.name, now) * queueing_factor /
                              calibrate(service.name, demand, others.loads);
        m_state.shares.update(service.name, capacity, demand, received_at);
    }
}

// Compares the demand that was admitted with the requests that are in flight:
// the speed that slot times are estimated by includes waiting.
// @return requests in flight for each slot of admitted demand
double headroom_service::calibrate(const service_name& service,
                                   const std::vector<workspace_demand>& demand,
                                   const server_loads& others)
{
    const auto now = gateway_state::now();
    double admitted = 0;
    for (const auto& entry : demand)
    {
        if (entry.service == service)
        {
            admitted += entry.slots *
                        m_state.shares.admit(entry, 0, now).admitted_fraction;
        }
    }
    double in_flight = 0;
    for (const auto& server : m_state.servers.usable(service))
    {
        const auto& id = server.entry->id;
        const auto other = others.find(id);
        in_flight += static_cast<double>(
            m_state.choice.loads().own_load(id).active +
            (other == others.end() ? 0 : other->second.active));
    }
    auto& calibration =
        m_calibrations.try_emplace(service, max_calibration).first->second;
    if (admitted >= 1)
    {
        const auto observed =
            std::clamp(in_flight / admitted, min_calibration, max_calibration);
        calibration += calibration_gain * (observed - calibration);
    }
    return calibration;
}

// Slots of the service's usable engines. A slow engine serves fewer requests.
double headroom_service::capacity_of(const service_name& service,
                                     absl::Time now) const
{
    double slots = 0;
    for (const auto& server : m_state.servers.usable(service))
    {
        const auto speed =
            m_state.choice.speeds().estimate(server.entry->incarnation(), now);
        slots += server.entry->slots / speed.current();
    }
    return slots;
}

void headroom_service::set_gauges()
{
    if (!is_needed())
    {
        return;
    }
    const auto now = gateway_state::now();
    double capacity = 0;
    double shortage = 0;
    int slow = 0;
    for (const auto& service : m_state.routes->configuration().services)
    {
        if (!m_state.models_headroom(service))
        {
            continue;
        }
        capacity += capacity_of(service.name, now);
        shortage += m_state.shares.shortage(service.name, now);
        for (const auto& server : m_state.servers.usable(service.name))
        {
            const auto speed = m_state.choice.speeds().estimate(
                server.entry->incarnation(), now);
            slow += speed.recent > 1 ? 1 : 0;
        }
    }
    auto& meter = m_state.meter;
    meter.set("slots_capacity", "Slots of engines, weighted by speed.",
              capacity);
    meter.set("slots_short", "Slots that workspaces lack.", shortage);
    meter.set("engines_slow", "Engines that are slow at the moment.", slow);
}

void headroom_service::log_shortage()
{
    const auto now = gateway_state::now();
    if (now - m_logged_at < log_interval)
    {
        return;
    }
    for (const auto& service : m_state.routes->configuration().services)
    {
        const auto shortage = m_state.shares.shortage(service.name, now);
        if (shortage <= 0)
        {
            continue;
        }
        m_logged_at = now;
        log(events::slots_short,
            {{"service", service.name.value()},
             {"capacity", std::to_string(capacity_of(service.name, now))},
             {"shortage", std::to_string(shortage)},
             {"age_ms", std::to_string(absl::ToInt64Milliseconds(
                            now - m_exchange.received_at(now)))}});
    }
}

} // namespace daleshelf
