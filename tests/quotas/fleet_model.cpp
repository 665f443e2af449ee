#include "fleet_model.hpp"

#include "quota_host.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// Time for the hosts to discover each other before the first request.
constexpr absl::Duration warm_up = absl::Seconds(8);
// All hosts start within this time, in seconds.
constexpr double start_spread = 0.3;
// Request sizes as the users state them: a shared prompt of 6,300 tokens and an
// own part of 2,890 tokens on average that is occasionally far longer.
constexpr double shared_tokens = 6'300;
constexpr double own_tokens = 2'890;
constexpr double max_own_tokens = 18'300;
constexpr double mean_cost = shared_tokens + own_tokens;
constexpr double loss_probability = 0.1;
// A balancer removes a stopping host after two failed probes.
constexpr absl::Duration balancer_removal_delay = absl::Seconds(2);
// Time from the start of a shutdown until the process exits, and until it
// starts again.
constexpr absl::Duration shutdown_duration = absl::Milliseconds(2700);
constexpr absl::Duration restart_delay = absl::Milliseconds(500);

} // namespace

fleet_model::fleet_model(fleet_scenario scenario)
    : m_scenario(std::move(scenario))
    , m_random(m_scenario.seed)
    , m_start(absl::UnixEpoch() + absl::Hours(1))
    , m_now(m_start - warm_up)
{
    for (int hall = 0; hall < m_scenario.halls; ++hall)
    {
        const auto all = m_scenario.hosts_a_hall + m_scenario.spares_a_hall;
        for (int number = 0; number < all; ++number)
        {
            host_slot added;
            added.hall = hall_id("hall-" + std::to_string(hall));
            added.name = host_id("edge-" + std::to_string(hall) + "-" +
                                 std::to_string(number));
            added.hall_number = hall;
            added.is_spare = number >= m_scenario.hosts_a_hall;
            m_index[added.name] = m_slots.size();
            m_slots.push_back(std::move(added));
        }
    }
}

fleet_model::~fleet_model() = default;

double fleet_model::bound_for(double rate)
{
    const auto limit = rate * (absl::ToDoubleSeconds(window) + 1);
    return limit * (1 + overshoot) + slack;
}

fleet_result fleet_model::simulate()
{
    for (std::size_t index = 0; index < m_slots.size(); ++index)
    {
        if (m_slots[index].is_spare)
        {
            continue;
        }
        schedule(m_now + absl::Seconds(random(0, start_spread)),
                 [this, index] { start_host(index, true); });
    }
    for (const auto& fault : m_scenario.faults)
    {
        schedule(m_start + absl::Seconds(fault.at),
                 [this, fault] { inject_fault(fault); });
    }
    schedule(m_start, [this] { next_request(); });
    const auto end = m_start + absl::Seconds(m_scenario.seconds);
    while (!m_events.empty() && m_events.top().at < end)
    {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    return m_result;
}

void fleet_model::schedule(absl::Time at, std::function<void()> run)
{
    m_events.push({at, ++m_order, std::move(run)});
}

void fleet_model::after(const host_id& host, absl::Duration time,
                        std::function<void()> run)
{
    const auto index = index_of(host);
    run_later(index, m_slots[index].generation, m_now + time, std::move(run));
}

// A paused host runs the call after it resumes; a stopped or restarted one
// never does.
void fleet_model::run_later(std::size_t index, int generation, absl::Time time,
                            std::function<void()> run)
{
    schedule(time,
             [this, index, generation, run = std::move(run)]
             {
                 const auto& slot = m_slots[index];
                 if (slot.generation != generation || !slot.host)
                 {
                     return;
                 }
                 if (m_now < slot.frozen_until)
                 {
                     run_later(index, generation, slot.frozen_until, run);
                     return;
                 }
                 run();
             });
}

void fleet_model::send(const host_id& from, const host_id& to,
                       std::string bytes)
{
    const auto target = m_index.find(to);
    if (target == m_index.end())
    {
        return;
    }
    auto& sender = m_slots[index_of(from)];
    auto& receiver = m_slots[target->second];
    const bool is_lost =
        m_now < m_lossy_until && random(0, 1) < loss_probability;
    if (!receiver.host || !is_connected(sender, receiver) || is_lost)
    {
        return;
    }
    const bool is_same_hall = sender.hall_number == receiver.hall_number;
    auto delay =
        absl::Milliseconds(is_same_hall ? random(0.2, 1) : random(1.5, 4));
    if (m_now < m_slow_until)
    {
        delay += absl::Milliseconds(random(0, 500));
    }
    schedule(m_now + delay,
             [this, to = target->second, generation = receiver.generation,
              bytes = std::move(bytes)] { deliver(to, generation, bytes); });
}

void fleet_model::deliver(std::size_t to, int generation, std::string bytes)
{
    auto& receiver = m_slots[to];
    if (receiver.generation != generation || !receiver.host)
    {
        return;
    }
    if (m_now < receiver.frozen_until)
    {
        schedule(receiver.frozen_until,
                 [this, to, generation, bytes = std::move(bytes)]
                 { deliver(to, generation, bytes); });
        return;
    }
    receiver.host->receive(bytes);
}

std::vector<std::pair<host_id, hall_id>> fleet_model::listed() const
{
    std::vector<std::pair<host_id, hall_id>> names;
    for (const auto& slot : m_slots)
    {
        if (slot.is_listed)
        {
            names.emplace_back(slot.name, slot.hall);
        }
    }
    return names;
}

void fleet_model::publish(const host_id& host)
{
    m_slots[index_of(host)].is_listed = true;
}

std::vector<ingress_tenant> fleet_model::workspaces() const
{
    ingress_tenant workspace;
    workspace.name = quota_host::workspace;
    workspace.limit = {m_scenario.rate, m_scenario.rate};
    return {workspace};
}

double fleet_model::random(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

void fleet_model::start_host(std::size_t index, bool is_first)
{
    auto& slot = m_slots[index];
    ++slot.generation;
    slot.stopping_at = absl::InfiniteFuture();
    slot.host = std::make_unique<quota_host>(
        *this,
        quota_host::identity{slot.name, slot.hall,
                             incarnation(absl::ToUnixMillis(m_now)), is_first});
    slot.host->start();
}

void fleet_model::start_spares()
{
    for (std::size_t index = 0; index < m_slots.size(); ++index)
    {
        if (std::exchange(m_slots[index].is_spare, false))
        {
            start_host(index, true);
        }
    }
}

void fleet_model::inject_fault(const fleet_fault& fault)
{
    const auto until = m_now + absl::Seconds(fault.seconds);
    switch (fault.type)
    {
    case fleet_fault::kind::hall_cut:
        m_cut_hall = fault.hall;
        m_hall_cut_until = until;
        return;
    case fleet_fault::kind::loss:
        m_lossy_until = until;
        return;
    case fleet_fault::kind::delay:
        m_slow_until = until;
        return;
    case fleet_fault::kind::join:
        start_spares();
        return;
    case fleet_fault::kind::restart:
        rolling_restart(fault);
        return;
    case fleet_fault::kind::kill:
    case fleet_fault::kind::cut:
    case fleet_fault::kind::freeze:
        break;
    }
    for (std::size_t index = 0; index < m_slots.size(); ++index)
    {
        if (random(0, 1) < fault.share)
        {
            inject_host_fault(fault, m_slots[index], index);
        }
    }
}

// Like an operator's update: the hosts of all halls in random order.
void fleet_model::rolling_restart(const fleet_fault& fault)
{
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < m_slots.size(); ++index)
    {
        if (m_slots[index].host)
        {
            order.push_back(index);
        }
    }
    std::shuffle(order.begin(), order.end(), m_random);
    order.resize(static_cast<std::size_t>(
        std::ceil(static_cast<double>(order.size()) * fault.share)));
    auto at = m_now;
    for (const auto index : order)
    {
        schedule(at, [this, index] { stop_host(index); });
        at += absl::Seconds(fault.seconds);
    }
}

void fleet_model::stop_host(std::size_t index)
{
    auto& slot = m_slots[index];
    if (!slot.host)
    {
        return;
    }
    slot.stopping_at = m_now;
    slot.host->stop();
    run_later(index, slot.generation, m_now + shutdown_duration,
              [this, index]
              {
                  m_slots[index].host.reset();
                  schedule(m_now + restart_delay,
                           [this, index] { start_host(index, false); });
              });
}

void fleet_model::inject_host_fault(const fleet_fault& fault, host_slot& slot,
                                    std::size_t index)
{
    const auto until = m_now + absl::Seconds(fault.seconds);
    if (fault.type == fleet_fault::kind::cut)
    {
        slot.cut_until = until;
        return;
    }
    if (fault.type == fleet_fault::kind::freeze)
    {
        slot.frozen_until = until;
        return;
    }
    if (slot.host)
    {
        slot.host.reset();
        slot.frozen_until = absl::InfinitePast();
        schedule(until, [this, index] { start_host(index, false); });
    }
}

void fleet_model::next_request()
{
    const auto own = std::min(
        max_own_tokens,
        std::exponential_distribution<double>(1)(m_random) * own_tokens);
    send_request(shared_tokens + own);
    const auto per_second = demand() * m_scenario.rate / mean_cost;
    const auto pause =
        std::exponential_distribution<double>(per_second)(m_random);
    schedule(m_now + absl::Seconds(pause), [this] { next_request(); });
}

// The balancer sends requests only to hosts that run.
void fleet_model::send_request(double cost)
{
    const bool was_normal = has_normal_load();
    m_result.requested += cost;
    m_result.normal_requested += was_normal ? cost : 0;
    const auto running = serving_hosts();
    if (running.empty())
    {
        return;
    }
    const auto chosen = std::uniform_int_distribution<std::size_t>(
        0, running.size() - 1)(m_random);
    running[chosen]->take(
        cost,
        [this, cost, was_normal, requested_at = m_now](bool is_within)
        {
            if (is_within)
            {
                record_grant(cost);
                record_wait(m_now - requested_at);
                m_result.normal_granted += was_normal ? cost : 0;
            }
        });
}

std::vector<quota_host*> fleet_model::serving_hosts() const
{
    std::vector<quota_host*> hosts;
    for (const auto& slot : m_slots)
    {
        const bool is_removed =
            slot.stopping_at != absl::InfiniteFuture() &&
            m_now - slot.stopping_at >= balancer_removal_delay;
        if (slot.host && m_now >= slot.frozen_until && !is_removed)
        {
            hosts.push_back(slot.host.get());
        }
    }
    return hosts;
}

void fleet_model::record_wait(absl::Duration wait)
{
    const auto seconds = absl::ToDoubleSeconds(wait);
    ++m_grant_count;
    m_result.longest_wait = std::max(m_result.longest_wait, seconds);
    m_result.mean_wait +=
        (seconds - m_result.mean_wait) / static_cast<double>(m_grant_count);
}

void fleet_model::record_grant(double cost)
{
    m_result.granted += cost;
    m_grants.emplace_back(m_now, cost);
    m_granted_in_window += cost;
    while (m_now - m_grants.front().first > window)
    {
        m_granted_in_window -= m_grants.front().second;
        m_grants.pop_front();
    }
    if (m_granted_in_window > m_result.max_in_window)
    {
        m_result.max_in_window = m_granted_in_window;
        m_result.max_at = absl::ToDoubleSeconds(m_now - m_start);
    }
}

bool fleet_model::is_connected(const host_slot& from, const host_slot& to) const
{
    const bool crosses_partition =
        m_now < m_hall_cut_until && from.hall_number != to.hall_number &&
        (from.hall_number == m_cut_hall || to.hall_number == m_cut_hall);
    return !crosses_partition && m_now >= from.cut_until &&
           m_now >= to.cut_until;
}

std::size_t fleet_model::index_of(const host_id& name) const
{
    return m_index.at(name);
}

double fleet_model::demand() const
{
    const auto second = absl::ToDoubleSeconds(m_now - m_start);
    const bool is_peak =
        second >= m_scenario.peak_from && second < m_scenario.peak_until;
    return is_peak ? m_scenario.peak_load : m_scenario.normal_load;
}

bool fleet_model::has_normal_load() const
{
    const auto second = absl::ToDoubleSeconds(m_now - m_start);
    return demand() < 1 &&
           std::none_of(m_scenario.faults.begin(), m_scenario.faults.end(),
                        [&](const auto& fault) { return second >= fault.at; });
}

} // namespace daleshelf
