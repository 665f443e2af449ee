#include "limit_fleet.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <quotas/shared_quota.hpp>
#include <random>
#include <upstream_limits/limit_message.hpp>
#include <upstream_limits/limit_pacing.hpp>

namespace daleshelf
{

namespace
{

const upstream_life upstream{upstream_id("limited"), upstream_birth(1)};

// The platform's rule.
constexpr absl::Duration rule_window = absl::Seconds(4);
constexpr absl::Duration rule_grace = absl::Seconds(3);
constexpr absl::Duration rule_told = absl::Milliseconds(500);
constexpr double rule_factor = 1.5;
constexpr double rule_slack = 5;

// As services/gateway has them.
constexpr absl::Duration tick_pause = absl::Milliseconds(250);
constexpr std::size_t states_a_tick = 8;
constexpr std::size_t gossip_peers = 8;
constexpr std::size_t most_records = 64;
constexpr absl::Duration gossip_pause = absl::Milliseconds(50);
constexpr absl::Duration repeat_pause = absl::Seconds(2);
constexpr absl::Duration ask_time = absl::Milliseconds(100);

// Hosts have that long for each other before the first request.
constexpr absl::Duration lead = absl::Seconds(8);
constexpr double loss_share = 0.2;

/// One request that waits for its part of the limit.
struct waiting_claim
{
    explicit waiting_claim(quota_claim opened) : claim(std::move(opened)) {}

    quota_claim claim;
};

/// A token bucket that begins empty.
class limit_bucket
{
public:
    [[nodiscard]] bool take(double per_second, double most, absl::Time now)
    {
        const auto earned =
            m_filled_at == absl::InfinitePast()
                ? 0.0
                : absl::ToDoubleSeconds(now - m_filled_at) * per_second;
        m_tokens = std::min(most, m_tokens + earned);
        m_filled_at = now;
        const bool is_granted = m_tokens >= 1;
        m_tokens -= is_granted ? 1 : 0;
        return is_granted;
    }

private:
    double m_tokens = 0;
    absl::Time m_filled_at = absl::InfinitePast();
};

/// One host of the model.
struct limit_host
{
    host_id name;
    hall_id hall;
    int hall_number = 0;
    int life = 0;
    incarnation started;
    bool is_listed = false;
    std::unique_ptr<shared_quota> quota;
    absl::Time frozen_until = absl::InfinitePast();
    absl::Time passed_over_until = absl::InfinitePast();
    limit_bucket bucket; ///< of the ways that the product does not take
    /// Since when it has passed on answers that name a limit.
    absl::Time told_at = absl::InfiniteFuture();
    std::size_t last_state = 0;
    bool is_gossip_due = false;
    std::map<std::int64_t, std::shared_ptr<waiting_claim>> waiting;
};

struct arrival
{
    absl::Time at;
    bool is_told = false;
};

class limit_fleet
{
public:
    limit_fleet(const limit_plan& plan, std::uint32_t seed);

    [[nodiscard]] limit_outcome play();

private:
    struct event
    {
        absl::Time at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(absl::Duration after, std::function<void()> run);
    void on_host(std::size_t index, absl::Duration after,
                 std::function<void(limit_host&)> run);
    void run_on_host(std::size_t index, int life,
                     const std::function<void(limit_host&)>& run);
    void send(std::size_t from, std::size_t to,
              std::function<void(limit_host&)> receive);
    void start_host(std::size_t index, bool is_first);
    void list(limit_host& host, bool is_first);
    void tick(std::size_t index);
    void send_states(std::size_t index);
    void repeat(std::size_t index);
    void gossip(std::size_t index);
    void gossip_to(std::size_t from, std::size_t to,
                   const std::vector<limit_record>& records);
    void check_updates(std::size_t index);
    void send_quota(std::size_t from, const addressed_quota_message& message);
    void receive_quota(std::size_t to, const quota_message& message);
    void next_request();
    void request_at(std::size_t index);
    void ask_owner(std::size_t index, double limit);
    void advance(std::size_t index,
                 const std::shared_ptr<waiting_claim>& waiting);
    void send_request(std::size_t index);
    void arrive(std::size_t index, int life, absl::Time sent_at);
    void take_answer(limit_host& host, std::size_t index,
                     std::optional<double> limit, absl::Time sent_at);
    void begin(const limit_trouble& trouble);
    [[nodiscard]] bool is_across(int one_hall, int other_hall) const;
    [[nodiscard]] bool is_passable(int one_hall, int other_hall) const;
    [[nodiscard]] std::optional<double> limit_at(absl::Time at) const;
    [[nodiscard]] std::optional<double> most_allowed(absl::Time end) const;
    [[nodiscard]] double random(double from, double to);
    [[nodiscard]] std::size_t any_host();
    void judge();

    limit_plan m_plan;
    std::mt19937 m_random;
    absl::Time m_start = absl::UnixEpoch() + absl::Hours(1);
    absl::Time m_now = m_start - lead;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<limit_host> m_hosts;
    std::map<host_id, std::size_t> m_index;
    absl::Time m_cut_until = absl::InfinitePast();
    absl::Time m_split_until = absl::InfinitePast();
    absl::Time m_lossy_until = absl::InfinitePast();
    std::vector<arrival> m_arrivals;
    absl::Time m_first_named = absl::InfiniteFuture();
    std::vector<bool> m_has_learned;
    double m_gossip_bytes = 0;
    double m_asks = 0;
    limit_outcome m_outcome;
};

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

// A host that stands still does it once it goes on, one that has ended never.
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
            host.quota->roster().list(other.name, other.hall, m_now);
        }
    }
    host.quota->note_fleet(!is_first, m_now);
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
             { receiver.quota->hear(peer, m_now); });
    }
}

void limit_fleet::repeat(std::size_t index)
{
    constexpr std::size_t records_repeated = 12;
    const auto records =
        m_hosts[index].quota->limits().next_in_turn(records_repeated);
    if (!records.empty())
    {
        gossip_to(index, any_host(), records);
    }
    on_host(index, repeat_pause, [this, index](limit_host&) { repeat(index); });
}

void limit_fleet::check_updates(std::size_t index)
{
    auto& host = m_hosts[index];
    if (host.quota->limits().limit_of(upstream.id) && !m_has_learned[index])
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
    const auto waiting = host.waiting.find(message.answer_to);
    if (waiting != host.waiting.end() &&
        host.quota->has_answer(message.answer_to))
    {
        const auto claim = waiting->second;
        host.waiting.erase(waiting);
        advance(to, claim);
    }
}

void limit_fleet::next_request()
{
    const auto index = any_host();
    const auto& host = m_hosts[index];
    if (host.quota && m_now >= host.frozen_until &&
        m_now >= host.passed_over_until)
    {
        request_at(index);
    }
    const auto pause =
        std::exponential_distribution<double>(m_plan.demand)(m_random);
    schedule(absl::Seconds(pause), [this] { next_request(); });
}

void limit_fleet::request_at(std::size_t index)
{
    auto& host = m_hosts[index];
    const auto limit = host.quota->limits().limit_of(upstream.id);
    if (!limit || m_plan.way == limit_way::unlimited)
    {
        send_request(index);
        return;
    }
    const auto hosts = static_cast<double>(host.quota->fleet_size());
    switch (m_plan.way)
    {
    case limit_way::shares:
        if (host.bucket.take(*limit / hosts, 1, m_now))
        {
            send_request(index);
        }
        return;
    case limit_way::owner:
        ask_owner(index, *limit);
        return;
    case limit_way::keepers:
    case limit_way::unlimited:
        advance(index, std::make_shared<waiting_claim>(
                           host.quota->open_claim(upstream.id, 1, m_now)));
        return;
    }
}

// Hosts are in the order of their hashes. One that runs and is in reach owns
// the limit as far as the asker knows; that it takes time to notice that an
// owner is gone is left out.
void limit_fleet::ask_owner(std::size_t index, double limit)
{
    constexpr double most = 2;
    for (std::size_t owner = 0; owner < m_hosts.size(); ++owner)
    {
        const auto& candidate = m_hosts[owner];
        if (!candidate.quota || m_now < candidate.frozen_until ||
            !is_passable(candidate.hall_number, m_hosts[index].hall_number))
        {
            continue;
        }
        ++m_asks;
        send(index, owner,
             [this, index, owner, limit](limit_host& asked)
             {
                 if (asked.bucket.take(limit, most, m_now))
                 {
                     send(owner, index,
                          [this, index](limit_host&) { send_request(index); });
                 }
             });
        return;
    }
}

void limit_fleet::advance(std::size_t index,
                          const std::shared_ptr<waiting_claim>& waiting)
{
    auto& host = m_hosts[index];
    const auto step = host.quota->advance(waiting->claim, m_now);
    if (step.what == claim_step::outcome::granted)
    {
        send_request(index);
        return;
    }
    if (step.what == claim_step::outcome::refused)
    {
        const auto limit = host.quota->limits().limit_of(upstream.id);
        host.passed_over_until =
            m_now + pass_over_time(limit.value_or(1), host.quota->fleet_size(),
                                   random(0, 1));
        return;
    }
    ++m_asks;
    send_quota(index, *step.ask);
    const auto ask = step.ask->message.sequence;
    host.waiting[ask] = waiting;
    on_host(index, ask_time,
            [this, index, ask](limit_host& asking)
            {
                const auto open = asking.waiting.find(ask);
                if (open == asking.waiting.end())
                {
                    return;
                }
                const auto claim = open->second;
                asking.waiting.erase(open);
                advance(index, claim);
            });
}

// A new connection now and then takes longer.
void limit_fleet::send_request(std::size_t index)
{
    constexpr double slow_share = 0.02;
    const bool is_slow = random(0, 1) < slow_share;
    const auto way = is_slow ? random(20, 300) : random(0.3, 4);
    if (m_now >= m_cut_until || !is_across(m_hosts[index].hall_number, 0))
    {
        schedule(absl::Milliseconds(way),
                 [this, index, life = m_hosts[index].life, sent_at = m_now]
                 { arrive(index, life, sent_at); });
    }
}

void limit_fleet::arrive(std::size_t index, int life, absl::Time sent_at)
{
    const auto& host = m_hosts[index];
    m_arrivals.push_back({m_now, m_now - host.told_at >= rule_told});
    schedule(absl::Milliseconds(random(5, 300)),
             [this, index, life, sent_at]
             {
                 const auto limit = limit_at(m_now);
                 run_on_host(index, life,
                             [this, index, limit, sent_at](limit_host& asked)
                             { take_answer(asked, index, limit, sent_at); });
             });
}

void limit_fleet::take_answer(limit_host& host, std::size_t index,
                              std::optional<double> limit, absl::Time sent_at)
{
    if (limit)
    {
        host.told_at = std::min(host.told_at, m_now);
        m_first_named = std::min(m_first_named, m_now);
    }
    host.quota->record_answer({upstream, limit, sent_at}, m_now, m_now);
    check_updates(index);
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

std::optional<double> limit_fleet::limit_at(absl::Time at) const
{
    std::optional<double> limit;
    for (const auto& step : m_plan.steps)
    {
        if (m_start + absl::Seconds(step.at) <= at)
        {
            limit = step.per_second;
        }
    }
    return limit;
}

// What the rule allows in the window that ends then; nothing: it says nothing.
std::optional<double> limit_fleet::most_allowed(absl::Time end) const
{
    const auto begin = end - rule_window - rule_grace;
    auto most = limit_at(end);
    for (const auto& step : m_plan.steps)
    {
        const auto at = m_start + absl::Seconds(step.at);
        const bool is_within = at > begin && at <= end;
        if (is_within && step.per_second && most)
        {
            const auto before = limit_at(at - absl::Nanoseconds(1));
            most = std::max({*most, *step.per_second, before.value_or(0)});
        }
        if (is_within && end - at < rule_grace &&
            !limit_at(at - absl::Nanoseconds(1)))
        {
            return std::nullopt;
        }
    }
    if (!most)
    {
        return std::nullopt;
    }
    return rule_factor * *most * absl::ToDoubleSeconds(rule_window) +
           rule_slack;
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
    m_outcome.most_over = -std::numeric_limits<double>::infinity();
    std::deque<absl::Time> window;
    double counted = 0;
    for (const auto& seen : m_arrivals)
    {
        const auto sinces = absl::ToDoubleSeconds(seen.at - m_start);
        for (std::size_t step = 0; step < m_plan.steps.size(); ++step)
        {
            const auto from = m_plan.steps[step].at + 4;
            const auto until = step + 1 < m_plan.steps.size()
                                   ? m_plan.steps[step + 1].at
                                   : m_plan.seconds;
            const bool is_counted = m_plan.steps[step].per_second &&
                                    sinces >= from && sinces < until;
            counted += is_counted ? 1 : 0;
        }
        if (!seen.is_told)
        {
            continue;
        }
        window.push_back(seen.at);
        while (seen.at - window.front() > rule_window)
        {
            window.pop_front();
        }
        if (const auto allowed = most_allowed(seen.at))
        {
            const auto count = static_cast<double>(window.size());
            m_outcome.most_over =
                std::max(m_outcome.most_over, count - std::floor(*allowed));
            m_outcome.fullest = std::max(m_outcome.fullest, count / *allowed);
        }
    }
    double possible = 0;
    for (std::size_t step = 0; step < m_plan.steps.size(); ++step)
    {
        const auto until = step + 1 < m_plan.steps.size()
                               ? m_plan.steps[step + 1].at
                               : m_plan.seconds;
        possible += m_plan.steps[step].per_second.value_or(0) *
                    std::max(0.0, until - m_plan.steps[step].at - 4);
    }
    m_outcome.arrived = static_cast<double>(m_arrivals.size());
    m_outcome.used = possible > 0 ? counted / possible : 0;
    m_outcome.gossip_bytes = m_gossip_bytes /
                             static_cast<double>(m_plan.hosts) /
                             (m_plan.seconds + absl::ToDoubleSeconds(lead));
    m_outcome.asks = m_asks / std::max(1.0, m_outcome.arrived);
}

} // namespace

limit_outcome play_limits(const limit_plan& plan, std::uint32_t seed)
{
    limit_fleet fleet(plan, seed);
    return fleet.play();
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
