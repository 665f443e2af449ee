#include "brittle_simulation.hpp"

#include <algorithm>
#include <string>

namespace daleshelf
{

namespace
{

const service_name brittle_service("brittle");

// Values of the platform.
constexpr absl::Duration contact_time = absl::Seconds(4);
constexpr absl::Duration restart_time = absl::Seconds(3);
// Values of services/gateway.
constexpr absl::Duration gossip_interval = absl::Milliseconds(250);
constexpr std::size_t gossip_recipients = 8;
constexpr absl::Duration sample_interval = absl::Milliseconds(10);
constexpr double loss_probability = 0.2;

} // namespace

brittle_simulation::brittle_simulation(const brittle_scenario& scenario,
                                       std::uint32_t seed)
    : m_scenario(scenario), m_random(seed)
{
    for (int number = 0; number < scenario.servers; ++number)
    {
        brittle_server server;
        server.started_at = m_start - absl::Minutes(1);
        m_servers.push_back(std::move(server));
    }
    for (int number = 0; number < scenario.hosts; ++number)
    {
        brittle_host host;
        host.hall_number = number % scenario.halls;
        host.hall = hall_id("hall-" + std::to_string(host.hall_number));
        host.name = host_id("edge-" + std::to_string(number));
        m_index[host.name] = m_hosts.size();
        m_hosts.push_back(std::move(host));
    }
}

brittle_result brittle_simulation::simulate()
{
    for (std::size_t index = 0; index < m_servers.size(); ++index)
    {
        start_server(index);
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        start_host(index);
    }
    for (const auto& fault : m_scenario.faults)
    {
        schedule(absl::Seconds(fault.at),
                 [this, fault] { inject_fault(fault); });
    }
    schedule(absl::ZeroDuration(), [this] { next_request(); });
    schedule(absl::ZeroDuration(), [this] { sample_use(); });
    const auto end = m_start + absl::Seconds(m_scenario.seconds);
    while (!m_events.empty() && m_events.top().at < end)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    m_result.used_fraction = m_samples == 0 ? 1 : m_used_samples / m_samples;
    m_result.messages_per_request /= std::max(1, m_result.sent);
    return m_result;
}

void brittle_simulation::schedule(absl::Duration after,
                                  std::function<void()> run)
{
    m_events.push({m_now + after, ++m_order, std::move(run)});
}

void brittle_simulation::start_host(std::size_t index)
{
    auto& host = m_hosts[index];
    ++host.generation;
    host.started_at = host.generation == 1 ? absl::InfinitePast() : m_now;
    host.brittle.clear();
    host.limits = {};
    host.slots = std::make_unique<shared_slots>(
        host.name, host.hall, incarnation(absl::ToUnixMillis(m_now)));
    host.known_topology = 0;
    host.is_flush_due = false;
    host.is_gossip_due = false;
    host.pending.clear();
    host.choice.reset();
    host.servers = std::make_unique<server_directory>();
    host.choice =
        std::make_unique<server_choice>(*host.servers, host.hall, m_random());
    for (const auto& server : m_servers)
    {
        if (server.is_running)
        {
            host.servers->set(server.entry);
        }
    }
    schedule(gossip_interval * random(0, 1),
             [this, index, generation = host.generation]
             {
                 if (m_hosts[index].generation == generation)
                 {
                     gossip_loads(index);
                 }
             });
    ++m_topology;
    tick(index);
    greet(index);
}

void brittle_simulation::start_server(std::size_t index)
{
    auto& server = m_servers[index];
    ++server.generation;
    server.is_running = true;
    server.active = 0;
    server.rejections.clear();
    server.started_at = m_now;
    server.entry.id = upstream_id("server-" + std::to_string(index) + "-" +
                                  std::to_string(server.generation));
    server.entry.started_at = upstream_birth(absl::ToUnixMillis(m_now));
    server.entry.service = brittle_service;
    server.entry.hall = hall_id("hall-" + std::to_string(hall_of(index)));
    server.entry.slots = m_scenario.slots;
    list_server(index);
}

// Hosts learn of a new incarnation within half a second.
void brittle_simulation::list_server(std::size_t index)
{
    const auto entry = m_servers[index].entry;
    for (auto& host : m_hosts)
    {
        schedule(absl::Seconds(random(0.05, 0.5)),
                 [&host, entry]
                 {
                     if (host.servers)
                     {
                         host.servers->set(entry);
                     }
                 });
    }
}

void brittle_simulation::crash_server(std::size_t index)
{
    auto& server = m_servers[index];
    const auto id = server.entry.id;
    ++server.generation;
    server.is_running = false;
    server.waiting.clear();
    // The platform removes its record after a while.
    for (auto& host : m_hosts)
    {
        schedule(absl::Seconds(random(1, 2)),
                 [&host, id]
                 {
                     if (host.servers)
                     {
                         host.servers->remove(id);
                     }
                 });
    }
    schedule(restart_time, [this, index] { start_server(index); });
}

// Sends the load of this host to the next eight.
void brittle_simulation::gossip_loads(std::size_t index)
{
    auto& host = m_hosts[index];
    const auto loads = host.choice->loads().own_loads();
    const auto count = std::min(gossip_recipients, m_hosts.size() - 1);
    for (std::size_t number = 0; number < count; ++number)
    {
        host.last_recipient = (host.last_recipient + 1) % m_hosts.size();
        const auto to = host.last_recipient;
        if (to == index ||
            !is_connected(host.hall_number, m_hosts[to].hall_number) ||
            is_lost())
        {
            continue;
        }
        schedule(delay_between(host.hall_number, m_hosts[to].hall_number),
                 [this, to, name = host.name, loads]
                 {
                     if (m_hosts[to].choice)
                     {
                         m_hosts[to].choice->loads().set_peer_loads(name,
                                                                    loads);
                     }
                 });
    }
    schedule(gossip_interval,
             [this, index, generation = host.generation]
             {
                 if (m_hosts[index].generation == generation)
                 {
                     gossip_loads(index);
                 }
             });
}

void brittle_simulation::inject_fault(const brittle_fault& fault)
{
    const auto time = absl::Seconds(fault.seconds);
    change_topology(time);
    switch (fault.type)
    {
    case brittle_fault::kind::hall_cut:
        m_cut_since = m_now;
        m_cut_until = m_now + time;
        return;
    case brittle_fault::kind::loss:
        m_lossy_until = m_now + time;
        return;
    case brittle_fault::kind::crash:
        for (std::size_t index = 0; index < m_servers.size(); ++index)
        {
            if (m_servers[index].is_running && random(0, 1) < fault.share)
            {
                crash_server(index);
            }
        }
        return;
    case brittle_fault::kind::kill:
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
        {
            auto& host = m_hosts[index];
            if (random(0, 1) >= fault.share || !host.choice)
            {
                continue;
            }
            ++host.generation;
            host.choice.reset();
            host.servers.reset();
            host.slots.reset();
            host.stopped_at = m_now;
            schedule(time, [this, index] { start_host(index); });
        }
        return;
    }
}

// Counts the slots in use while callers are rejected.
void brittle_simulation::sample_use()
{
    schedule(sample_interval, [this] { sample_use(); });
    const auto begin =
        m_start + absl::Seconds(m_scenario.brittle_at) + absl::Seconds(5);
    const bool is_short_of_room =
        m_now - m_last_rejected_at < absl::Milliseconds(50);
    if (m_now < begin || !is_short_of_room)
    {
        return;
    }
    double used = 0;
    double available = 0;
    for (const auto& server : m_servers)
    {
        const bool is_settled =
            server.is_running && m_now - server.started_at > absl::Seconds(2);
        used += is_settled ? server.active : 0;
        available += is_settled ? m_scenario.slots : 0;
    }
    if (available > 0)
    {
        m_used_samples += used / available;
        ++m_samples;
    }
}

bool brittle_simulation::is_brittle_now() const
{
    return m_now >= m_start + absl::Seconds(m_scenario.brittle_at);
}

// The last hall is the partitioned one.
bool brittle_simulation::is_connected(int one_hall, int other_hall) const
{
    const auto last = m_scenario.halls - 1;
    const bool crosses =
        one_hall != other_hall && (one_hall == last || other_hall == last);
    return !crosses || m_now >= m_cut_until;
}

absl::Duration brittle_simulation::delay_between(int one_hall, int other_hall)
{
    return absl::Milliseconds(one_hall == other_hall ? random(0.2, 1)
                                                     : random(0.7, 2));
}

bool brittle_simulation::is_lost()
{
    return m_now < m_lossy_until && random(0, 1) < loss_probability;
}

int brittle_simulation::hall_of(std::size_t server) const
{
    return static_cast<int>(server) % m_scenario.halls;
}

double brittle_simulation::random(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

std::size_t brittle_simulation::random_index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

bool brittle_simulation::is_in_touch(const brittle_host& host) const
{
    const auto last = m_scenario.halls - 1;
    const bool is_affected_by_cut = host.hall_number == last;
    const bool was_cut = is_affected_by_cut &&
                         m_cut_until != absl::InfinitePast() &&
                         m_now - m_cut_until < contact_time;
    return m_now - host.started_at >= contact_time && !was_cut;
}

// Rejections are tolerated until hosts had time to learn of the limit.
void brittle_simulation::reject_at(std::size_t index, bool is_in_touch)
{
    auto& server = m_servers[index];
    server.rejections.emplace_back(m_now, is_in_touch);
    while (m_now - server.rejections.front().first >= absl::Seconds(1))
    {
        server.rejections.pop_front();
    }
    const auto enforced_at =
        m_start + absl::Seconds(m_scenario.brittle_at) + contact_time;
    if (m_now < enforced_at)
    {
        return;
    }
    ++m_result.rejections;
    const auto count = static_cast<int>(server.rejections.size());
    m_result.most_rejections = std::max(m_result.most_rejections, count);
    if (count <= m_scenario.rejections)
    {
        return;
    }
    const auto in_touch =
        std::count_if(server.rejections.begin(), server.rejections.end(),
                      [](const auto& rejection) { return rejection.second; });
    ++m_result.crashes;
    m_result.counted_crashes += 2 * in_touch > count ? 1 : 0;
    m_result.early_crashes +=
        m_now - server.started_at < absl::Seconds(2) ? 1 : 0;
    crash_server(index);
}

brittle_result simulate_brittle(const brittle_scenario& scenario,
                                std::uint32_t seed)
{
    brittle_simulation simulation(scenario, seed);
    return simulation.simulate();
}

int tolerated_crashes(const brittle_scenario& scenario)
{
    return 2 + scenario.servers / 10;
}

} // namespace daleshelf
