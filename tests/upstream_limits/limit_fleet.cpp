#include "limit_world.hpp"

#include <cmath>
#include <upstream_limits/limit_message.hpp>

namespace daleshelf
{

namespace
{

// As services/gateway has them.
constexpr absl::Duration tick_pause = absl::Milliseconds(250);
constexpr std::size_t states_a_tick = 8;
constexpr std::size_t gossip_peers = 8;
constexpr std::size_t most_records = 64;
constexpr absl::Duration gossip_pause = absl::Milliseconds(50);
constexpr absl::Duration repeat_pause = absl::Seconds(2);
constexpr double loss_share = 0.2;

} // namespace

limit_fleet::limit_fleet(const limit_plan& plan, std::uint32_t seed)
    : m_plan(plan), m_random(seed), m_has_learned(plan.hosts)
{
    for (int number = 0; number < plan.hosts; ++number)
    {
        limit_host host;
        host.hall_number = number % plan.halls;
        host.hall = hall_id("hall-" + std::to_string(host.hall_number));
        host.name = host_id("edge-" + std::to_string(number));
        m_index[host.name] = m_hosts.size();
        m_hosts.push_back(std::move(host));
    }
}

limit_outcome limit_fleet::play()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        schedule(absl::Seconds(random(0, 0.3)),
                 [this, index] { start_host(index, true); });
    }
    for (const auto& trouble : m_plan.troubles)
    {
        schedule(lead + absl::Seconds(trouble.at),
                 [this, trouble] { begin(trouble); });
    }
    schedule(lead, [this] { next_request(); });
    const auto end = m_start + absl::Seconds(m_plan.seconds);
    while (!m_events.empty() && m_events.top().at < end)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    judge();
    return m_outcome;
}

void limit_fleet::schedule(absl::Duration after, std::function<void()> run)
{
    m_events.push({m_now + after, ++m_order, std::move(run)});
}

// Runs once a frozen host has thawed, and never on a later life of the host.
void limit_fleet::on_host(std::size_t index, absl::Duration after,
                          std::function<void(limit_host&)> run)
{
    schedule(after, [this, index, life = m_hosts[index].life,
                     run = std::move(run)] { run_on_host(index, life, run); });
}

void limit_fleet::run_on_host(std::size_t index, int life,
                              const std::function<void(limit_host&)>& run)
{
    auto& host = m_hosts[index];
    if (host.life != life || !host.quota)
    {
        return;
    }
    if (m_now < host.frozen_until)
    {
        schedule(host.frozen_until - m_now,
                 [this, index, life, run] { run_on_host(index, life, run); });
        return;
    }
    run(host);
}

void limit_fleet::send(std::size_t from, std::size_t to,
                       std::function<void(limit_host&)> receive)
{
    const auto& sender = m_hosts[from];
    const auto& receiver = m_hosts[to];
    const bool is_lost = m_now < m_lossy_until && random(0, 1) < loss_share;
    if (is_lost || !receiver.quota ||
        !is_passable(sender.hall_number, receiver.hall_number))
    {
        return;
    }
    const bool is_near = sender.hall_number == receiver.hall_number;
    on_host(to, absl::Milliseconds(is_near ? random(0.2, 1) : random(1.5, 4)),
            std::move(receive));
}

void limit_fleet::start_host(std::size_t index, bool is_first)
{
    auto& host = m_hosts[index];
    ++host.life;
    host.started = incarnation(absl::ToUnixMillis(m_now));
    host.quota = std::make_unique<shared_quota>(host.name, host.hall,
                                                host.started, quota_options());
    host.told_at = absl::InfiniteFuture();
    host.passed_over_until = absl::InfinitePast();
    host.is_gossip_due = false;
    host.waiting.clear();
    host.bucket = limit_bucket();
    on_host(index, absl::Milliseconds(random(5, 300)),
            [this, index, is_first](limit_host& published)
            {
                published.is_listed = true;
                on_host(index, absl::Milliseconds(random(5, 50)),
                        [this, is_first](limit_host& lister)
                        { list(lister, is_first); });
            });
    on_host(index, absl::Milliseconds(random(5, 250)),
            [this, index](limit_host&) { tick(index); });
    on_host(index, repeat_pause * random(0, 1),
            [this, index](limit_host&) { repeat(index); });
}

void limit_fleet::list(limit_host& host, bool is_first)
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

void limit_fleet::tick(std::size_t index)
{
    for (const auto& message : m_hosts[index].quota->tick(m_now))
    {
        send_quota(index, message);
    }
    send_states(index);
    on_host(index, tick_pause + absl::Milliseconds(random(0, 20)),
            [this, index](limit_host&) { tick(index); });
}

// To the next eight, who greet a host that they hear first.
void limit_fleet::send_states(std::size_t index)
{
    auto& host = m_hosts[index];
    const quota_peer peer{host.name, host.hall, host.started, false,
                          static_cast<std::int64_t>(host.quota->fleet_size())};
    const auto count = std::min(states_a_tick, m_hosts.size() - 1);
    for (std::size_t number = 0; number < count; ++number)
    {
        host.last_state = (host.last_state + 1) % m_hosts.size();
        if (host.last_state == index)
        {
            host.last_state = (host.last_state + 1) % m_hosts.size();
        }
        send(index, host.last_state,
             [this, peer](limit_host& receiver)
             { receiver.quota->update_peer(peer, m_now); });
    }
}

void limit_fleet::repeat(std::size_t index)
{
    constexpr std::size_t records_repeated = 12;
    const auto records =
        m_hosts[index].quota->limits().next_to_repeat(records_repeated);
    if (!records.empty())
    {
        gossip_to(index, any_host(), records);
    }
    on_host(index, repeat_pause, [this, index](limit_host&) { repeat(index); });
}

void limit_fleet::check_updates(std::size_t index)
{
    auto& host = m_hosts[index];
    if (host.quota->limits().limit_of(limited_upstream.id) &&
        !m_has_learned[index])
    {
        m_has_learned[index] = true;
        m_outcome.learned_by_all =
            std::max(m_outcome.learned_by_all,
                     absl::ToDoubleSeconds(m_now - m_first_named));
    }
    if (host.quota->limits().has_updates() && !host.is_gossip_due)
    {
        host.is_gossip_due = true;
        on_host(index, gossip_pause,
                [this, index](limit_host&) { gossip(index); });
    }
}

void limit_fleet::gossip(std::size_t index)
{
    auto& host = m_hosts[index];
    host.is_gossip_due = false;
    host.passed_over_until = absl::InfinitePast();
    std::vector<limit_record> records;
    for (const auto& update : host.quota->limits().take_updates(most_records))
    {
        records.push_back(update.record);
    }
    for (std::size_t number = 0; number < gossip_peers; ++number)
    {
        gossip_to(index, any_host(), records);
    }
}

void limit_fleet::gossip_to(std::size_t from, std::size_t to,
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

void limit_fleet::send_quota(std::size_t from,
                             const addressed_quota_message& message)
{
    const auto to = m_index.at(message.to);
    send(from, to,
         [this, to, sent = message.message](limit_host&)
         { receive_quota(to, sent); });
}

void limit_fleet::receive_quota(std::size_t to, const quota_message& message)
{
    auto& host = m_hosts[to];
    if (auto reply = host.quota->receive(message, m_now))
    {
        send_quota(to, {message.from, std::move(*reply)});
    }
    check_updates(to);
    const auto waiting = host.waiting.find(message.in_reply_to);
    if (waiting != host.waiting.end() &&
        host.quota->has_reply(message.in_reply_to))
    {
        const auto claim = waiting->second;
        host.waiting.erase(waiting);
        advance(to, claim);
    }
}

void limit_fleet::begin(const limit_trouble& trouble)
{
    const auto time = absl::Seconds(trouble.seconds);
    if (trouble.what == limit_trouble::kind::hall_cut)
    {
        m_cut_until = m_now + time;
        return;
    }
    if (trouble.what == limit_trouble::kind::split)
    {
        m_split_until = m_now + time;
        return;
    }
    if (trouble.what == limit_trouble::kind::loss)
    {
        m_lossy_until = m_now + time;
        return;
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        auto& host = m_hosts[index];
        if (random(0, 1) >= trouble.share || !host.quota)
        {
            continue;
        }
        if (trouble.what == limit_trouble::kind::freeze)
        {
            host.frozen_until = m_now + time;
            continue;
        }
        host.quota.reset();
        m_has_learned[index] = true;
        schedule(time, [this, index] { start_host(index, false); });
    }
}

// The upstream is in hall 0, and the last hall is the one that is cut off.
bool limit_fleet::is_across(int one_hall, int other_hall) const
{
    const auto last = m_plan.halls - 1;
    return one_hall != other_hall && (one_hall == last || other_hall == last);
}

// Between hosts.
bool limit_fleet::is_passable(int one_hall, int other_hall) const
{
    return !is_across(one_hall, other_hall) ||
           (m_now >= m_cut_until && m_now >= m_split_until);
}

double limit_fleet::random(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

std::size_t limit_fleet::any_host()
{
    return std::uniform_int_distribution<std::size_t>(0, m_hosts.size() -
                                                             1)(m_random);
}

void limit_fleet::judge()
{
    judge_arrivals(m_plan, m_start, m_arrivals, m_outcome);
    m_outcome.gossip_bytes = m_gossip_bytes /
                             static_cast<double>(m_plan.hosts) /
                             (m_plan.seconds + absl::ToDoubleSeconds(lead));
    m_outcome.asks = m_asks / std::max(1.0, m_outcome.arrived);
}

limit_outcome play_limits(const limit_plan& plan, std::uint32_t seed)
{
    limit_fleet simulation(plan, seed);
    return simulation.play();
}

limit_plan drawn_limit_plan(std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto draw = [&](double from, double to)
    {
        const auto power = std::uniform_real_distribution<double>(
            std::log(from), std::log(to))(random);
        return std::exp(power);
    };
    constexpr int most_halls = 5;
    limit_plan plan;
    plan.hosts = static_cast<int>(std::lround(draw(2, 600)));
    plan.halls = std::uniform_int_distribution<int>(
        1, std::min(most_halls, plan.hosts))(random);
    const auto limit = draw(0.5, 100);
    plan.demand = limit * draw(1.5, 20);
    plan.steps = {{2, limit}, {12, limit * draw(0.2, 3)}};
    return plan;
}

} // namespace daleshelf
