#include "limit_simulation.hpp"

#include <cmath>
#include <upstream_limits/limit_message.hpp>

namespace daleshelf
{

namespace
{

// Values of services/gateway.
constexpr absl::Duration tick_interval = absl::Milliseconds(250);
constexpr std::size_t states_per_tick = 8;
constexpr std::size_t gossip_peers = 8;
constexpr std::size_t max_records = 64;
constexpr absl::Duration gossip_interval = absl::Milliseconds(50);
constexpr absl::Duration repeat_interval = absl::Seconds(2);
constexpr double loss_probability = 0.2;

} // namespace

limit_simulation::limit_simulation(const limit_scenario& scenario,
                                   std::uint32_t seed)
    : m_scenario(scenario), m_random(seed), m_has_learned(scenario.hosts)
{
    for (int number = 0; number < scenario.hosts; ++number)
    {
        limit_host host;
        host.hall_number = number % scenario.halls;
        host.hall = hall_id("hall-" + std::to_string(host.hall_number));
        host.name = host_id("edge-" + std::to_string(number));
        m_index[host.name] = m_hosts.size();
        m_hosts.push_back(std::move(host));
    }
}

limit_result limit_simulation::simulate()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        schedule(absl::Seconds(random(0, 0.3)),
                 [this, index] { start_host(index, true); });
    }
    for (const auto& fault : m_scenario.faults)
    {
        schedule(warm_up + absl::Seconds(fault.at),
                 [this, fault] { inject_fault(fault); });
    }
    schedule(warm_up, [this] { next_request(); });
    const auto end = m_start + absl::Seconds(m_scenario.seconds);
    while (!m_events.empty() && m_events.top().at < end)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    evaluate();
    return m_result;
}

void limit_simulation::schedule(absl::Duration after, std::function<void()> run)
{
    m_events.push({m_now + after, ++m_order, std::move(run)});
}

// Runs after a paused host resumes, and never on a later generation of the
// host.
void limit_simulation::schedule_on_host(std::size_t index, absl::Duration after,
                                        std::function<void(limit_host&)> run)
{
    schedule(after,
             [this, index, generation = m_hosts[index].generation,
              run = std::move(run)] { run_on_host(index, generation, run); });
}

void limit_simulation::run_on_host(std::size_t index, int generation,
                                   const std::function<void(limit_host&)>& run)
{
    auto& host = m_hosts[index];
    if (host.generation != generation || !host.quota)
    {
        return;
    }
    if (m_now < host.frozen_until)
    {
        schedule(host.frozen_until - m_now, [this, index, generation, run]
                 { run_on_host(index, generation, run); });
        return;
    }
    run(host);
}

void limit_simulation::send(std::size_t from, std::size_t to,
                            std::function<void(limit_host&)> receive)
{
    const auto& sender = m_hosts[from];
    const auto& receiver = m_hosts[to];
    const bool is_lost =
        m_now < m_lossy_until && random(0, 1) < loss_probability;
    if (is_lost || !receiver.quota ||
        !is_connected(sender.hall_number, receiver.hall_number))
    {
        return;
    }
    const bool is_same_hall = sender.hall_number == receiver.hall_number;
    schedule_on_host(
        to, absl::Milliseconds(is_same_hall ? random(0.2, 1) : random(1.5, 4)),
        std::move(receive));
}

void limit_simulation::start_host(std::size_t index, bool is_first)
{
    auto& host = m_hosts[index];
    ++host.generation;
    host.host_incarnation = incarnation(absl::ToUnixMillis(m_now));
    host.quota = std::make_unique<shared_quota>(
        host.name, host.hall, host.host_incarnation, quota_options());
    host.advertising_since = absl::InfiniteFuture();
    host.back_off_until = absl::InfinitePast();
    host.is_gossip_due = false;
    host.pending.clear();
    host.bucket = limit_bucket();
    schedule_on_host(index, absl::Milliseconds(random(5, 300)),
                     [this, index, is_first](limit_host& published)
                     {
                         published.is_listed = true;
                         schedule_on_host(index,
                                          absl::Milliseconds(random(5, 50)),
                                          [this, is_first](limit_host& lister) {
                                              read_host_list(lister, is_first);
                                          });
                     });
    schedule_on_host(index, absl::Milliseconds(random(5, 250)),
                     [this, index](limit_host&) { tick(index); });
    schedule_on_host(index, repeat_interval * random(0, 1),
                     [this, index](limit_host&) { repeat_records(index); });
}

void limit_simulation::read_host_list(limit_host& host, bool is_first)
{
    for (const auto& other : m_hosts)
    {
        if (other.is_listed)
        {
            host.quota->fleet().add_host(other.name, other.hall, m_now);
        }
    }
    host.quota->record_fleet_discovery(!is_first, m_now);
}

void limit_simulation::tick(std::size_t index)
{
    for (const auto& message : m_hosts[index].quota->tick(m_now))
    {
        send_quota(index, message);
    }
    send_states(index);
    schedule_on_host(index, tick_interval + absl::Milliseconds(random(0, 20)),
                     [this, index](limit_host&) { tick(index); });
}

// Sends the state to the next eight hosts.
void limit_simulation::send_states(std::size_t index)
{
    auto& host = m_hosts[index];
    const quota_peer peer{host.name, host.hall, host.host_incarnation, false,
                          static_cast<std::int64_t>(host.quota->fleet_size())};
    const auto count = std::min(states_per_tick, m_hosts.size() - 1);
    for (std::size_t number = 0; number < count; ++number)
    {
        host.last_recipient = (host.last_recipient + 1) % m_hosts.size();
        if (host.last_recipient == index)
        {
            host.last_recipient = (host.last_recipient + 1) % m_hosts.size();
        }
        send(index, host.last_recipient,
             [this, peer](limit_host& receiver)
             { receiver.quota->update_peer(peer, m_now); });
    }
}

void limit_simulation::repeat_records(std::size_t index)
{
    constexpr std::size_t records_repeated = 12;
    const auto records =
        m_hosts[index].quota->limits().next_to_repeat(records_repeated);
    if (!records.empty())
    {
        gossip_to(index, random_host(), records);
    }
    schedule_on_host(index, repeat_interval,
                     [this, index](limit_host&) { repeat_records(index); });
}

void limit_simulation::check_updates(std::size_t index)
{
    auto& host = m_hosts[index];
    if (host.quota->limits().limit_of(limited_upstream.id) &&
        !m_has_learned[index])
    {
        m_has_learned[index] = true;
        m_result.convergence_seconds =
            std::max(m_result.convergence_seconds,
                     absl::ToDoubleSeconds(m_now - m_first_advertised_at));
    }
    if (host.quota->limits().has_updates() && !host.is_gossip_due)
    {
        host.is_gossip_due = true;
        schedule_on_host(index, gossip_interval,
                         [this, index](limit_host&) { gossip(index); });
    }
}

void limit_simulation::gossip(std::size_t index)
{
    auto& host = m_hosts[index];
    host.is_gossip_due = false;
    host.back_off_until = absl::InfinitePast();
    std::vector<limit_record> records;
    for (const auto& update : host.quota->limits().take_updates(max_records))
    {
        records.push_back(update.record);
    }
    for (std::size_t number = 0; number < gossip_peers; ++number)
    {
        gossip_to(index, random_host(), records);
    }
}

void limit_simulation::gossip_to(std::size_t from, std::size_t to,
                                 const std::vector<limit_record>& records)
{
    m_gossip_bytes += static_cast<double>(encode_limits(records).size());
    send(from, to,
         [this, to, records](limit_host& receiver)
         {
             for (const auto& record : records)
             {
                 receiver.quota->merge_limit(record, m_now);
             }
             check_updates(to);
         });
}

void limit_simulation::send_quota(std::size_t from,
                                  const addressed_quota_message& message)
{
    const auto to = m_index.at(message.to);
    send(from, to,
         [this, to, sent = message.message](limit_host&)
         { receive_quota(to, sent); });
}

void limit_simulation::receive_quota(std::size_t to,
                                     const quota_message& message)
{
    auto& host = m_hosts[to];
    if (auto reply = host.quota->receive(message, m_now))
    {
        send_quota(to, {message.from, std::move(*reply)});
    }
    check_updates(to);
    const auto replied = host.pending.find(message.in_reply_to);
    if (replied != host.pending.end() &&
        host.quota->has_reply(message.in_reply_to))
    {
        const auto claim = replied->second;
        host.pending.erase(replied);
        advance_claim(to, claim);
    }
}

void limit_simulation::inject_fault(const limit_scenario_fault& fault)
{
    const auto time = absl::Seconds(fault.seconds);
    if (fault.type == limit_scenario_fault::kind::hall_cut)
    {
        m_cut_until = m_now + time;
        return;
    }
    if (fault.type == limit_scenario_fault::kind::split)
    {
        m_split_until = m_now + time;
        return;
    }
    if (fault.type == limit_scenario_fault::kind::loss)
    {
        m_lossy_until = m_now + time;
        return;
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        auto& host = m_hosts[index];
        if (random(0, 1) >= fault.share || !host.quota)
        {
            continue;
        }
        if (fault.type == limit_scenario_fault::kind::freeze)
        {
            host.frozen_until = m_now + time;
            continue;
        }
        host.quota.reset();
        m_has_learned[index] = true;
        schedule(time, [this, index] { start_host(index, false); });
    }
}

// The upstream is in hall 0; the last hall is the partitioned one.
bool limit_simulation::crosses_boundary(int one_hall, int other_hall) const
{
    const auto last = m_scenario.halls - 1;
    return one_hall != other_hall && (one_hall == last || other_hall == last);
}

// Whether hosts of the two halls can exchange datagrams.
bool limit_simulation::is_connected(int one_hall, int other_hall) const
{
    return !crosses_boundary(one_hall, other_hall) ||
           (m_now >= m_cut_until && m_now >= m_split_until);
}

double limit_simulation::random(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

std::size_t limit_simulation::random_host()
{
    return std::uniform_int_distribution<std::size_t>(0, m_hosts.size() -
                                                             1)(m_random);
}

void limit_simulation::evaluate()
{
    check_arrivals(m_scenario, m_start, m_arrivals, m_result);
    m_result.gossip_bytes_per_second =
        m_gossip_bytes / static_cast<double>(m_scenario.hosts) /
        (m_scenario.seconds + absl::ToDoubleSeconds(warm_up));
    m_result.exchanges_per_arrival =
        m_exchanges / std::max(1.0, m_result.arrived);
}

limit_result simulate_limits(const limit_scenario& scenario, std::uint32_t seed)
{
    limit_simulation simulation(scenario, seed);
    return simulation.simulate();
}

limit_scenario random_limit_scenario(std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto draw = [&](double from, double to)
    {
        const auto power = std::uniform_real_distribution<double>(
            std::log(from), std::log(to))(random);
        return std::exp(power);
    };
    constexpr int max_halls = 5;
    limit_scenario scenario;
    scenario.hosts = static_cast<int>(std::lround(draw(2, 600)));
    scenario.halls = std::uniform_int_distribution<int>(
        1, std::min(max_halls, scenario.hosts))(random);
    const auto limit = draw(0.5, 100);
    scenario.demand = limit * draw(1.5, 20);
    scenario.steps = {{2, limit}, {12, limit * draw(0.2, 3)}};
    return scenario;
}

} // namespace daleshelf
