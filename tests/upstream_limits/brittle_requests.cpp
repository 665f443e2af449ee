// Simulated requests of callers, from a host to an upstream and back.
#include "brittle_simulation.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

const service_name brittle_service("brittle");

// Values of services/gateway.
constexpr absl::Duration retry_after = absl::Milliseconds(250);
constexpr double retry_ratio = 0.2;
constexpr double max_retry_tokens = 4;
constexpr int max_failed_connects = 3;
constexpr double min_back_off_seconds = 0.25;
constexpr double max_back_off_seconds = 10;

} // namespace

void brittle_simulation::next_request()
{
    ++m_result.sent;
    begin_request({});
    const auto second = absl::ToDoubleSeconds(m_now - m_start);
    const auto factor = second >= 10 && second < 20 ? m_scenario.burst : 1.0;
    const auto interval = std::exponential_distribution<double>(
        m_scenario.demand * factor)(m_random);
    schedule(absl::Seconds(interval), [this] { next_request(); });
}

void brittle_simulation::begin_request(brittle_request request)
{
    const auto index = random_index(m_hosts.size());
    auto& host = m_hosts[index];
    if (!host.choice)
    {
        return;
    }
    host.retry_tokens =
        std::min(max_retry_tokens, host.retry_tokens + retry_ratio);
    const auto attempt = std::make_shared<attempt_state>();
    attempt->host = index;
    attempt->generation = host.generation;
    attempt->request = request;
    try_servers(attempt);
}

choice_request brittle_simulation::make_choice(const attempt_pointer& attempt)
{
    choice_request wanted;
    wanted.service = brittle_service;
    wanted.facts = &m_facts;
    wanted.excluded = attempt->excluded;
    const auto& host = m_hosts[attempt->host];
    for (const auto& server : host.brittle)
    {
        const bool is_full =
            m_scenario.strategy == brittle_strategy::reactive
                ? host.choice->total_load(server).active >= m_scenario.slots
                : m_scenario.strategy == brittle_strategy::subsets &&
                      !is_in_subset(host, server);
        if (is_full)
        {
            wanted.excluded.insert(server);
        }
    }
    return wanted;
}

// Whether the host may send the upstream one more request: it is one of as many
// hosts as the upstream has slots, and has none in flight there.
bool brittle_simulation::is_in_subset(const brittle_host& host,
                                      const upstream_id& server) const
{
    std::vector<slot_host> hosts;
    for (const auto& other : m_hosts)
    {
        hosts.push_back({other.name, other.hall, true});
    }
    const auto subset = slot_keepers(
        server, hall_id(), hosts, static_cast<std::size_t>(m_scenario.slots));
    return std::find(subset.begin(), subset.end(), host.name) != subset.end() &&
           host.choice->loads().own_load(server).active == 0;
}

void brittle_simulation::try_servers(const attempt_pointer& attempt)
{
    auto& host = m_hosts[attempt->host];
    const auto wanted = make_choice(attempt);
    const auto* server = host.choice->choose(wanted, m_now);
    if (server == nullptr)
    {
        reject(attempt);
        return;
    }
    const auto entry = *server;
    const auto upstream = brittle_entry(host, entry);
    if (!upstream)
    {
        send(attempt, entry);
        return;
    }
    advance_claim(
        attempt, entry,
        std::make_shared<slot_claim>(host.slots->open_claim(*upstream, m_now)));
}

void brittle_simulation::send(const attempt_pointer& attempt,
                              const server_entry& server)
{
    auto& host = m_hosts[attempt->host];
    attempt->excluded.insert(server.id);
    const auto wanted = make_choice(attempt);
    const auto entry = server;
    host.choice->begin_attempt(entry.incarnation(), wanted, 0);
    host.slots->begin(entry.id);
    check_changes(attempt->host);
    attempt->sent_at = m_now;
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                    [&](const auto& other)
                                    { return other.entry.id == entry.id; });
    const auto index =
        static_cast<std::size_t>(std::distance(m_servers.begin(), found));
    const bool is_reachable = found != m_servers.end() &&
                              is_connected(host.hall_number, hall_of(index));
    if (!is_reachable)
    {
        const auto connect_timeout =
            absl::Milliseconds(found == m_servers.end() ? random(0.5, 2) : 350);
        schedule(connect_timeout, [this, attempt, entry]
                 { handle_response(attempt, entry, outcome::refused, false); });
        return;
    }
    schedule(delay_between(host.hall_number, hall_of(index)),
             [this, attempt, index, entry] { arrive(attempt, index, entry); });
}

void brittle_simulation::arrive(const attempt_pointer& attempt,
                                std::size_t index, const server_entry& entry)
{
    auto& server = m_servers[index];
    if (!server.is_running || server.entry.id != entry.id)
    {
        respond(attempt, entry, outcome::refused);
        return;
    }
    if (server.active < m_scenario.slots)
    {
        run(attempt, index, entry);
        return;
    }
    const auto queue = is_brittle_now() ? 0 : m_scenario.queue;
    if (static_cast<int>(server.waiting.size()) < queue)
    {
        server.waiting.emplace_back([this, attempt, index, entry]
                                    { run(attempt, index, entry); });
        return;
    }
    reject_at(index, is_in_touch(m_hosts[attempt->host]));
    respond(attempt, entry, outcome::rejected);
}

void brittle_simulation::run(const attempt_pointer& attempt, std::size_t index,
                             const server_entry& entry)
{
    auto& server = m_servers[index];
    ++server.active;
    schedule(absl::Seconds(m_scenario.work * random(0.5, 1.5)),
             [this, attempt, index, entry, generation = server.generation]
             {
                 const bool is_running =
                     m_servers[index].generation == generation;
                 if (is_running)
                 {
                     finish_one(index);
                 }
                 respond(attempt, entry,
                         is_running ? outcome::served : outcome::broken);
             });
}

void brittle_simulation::finish_one(std::size_t index)
{
    auto& server = m_servers[index];
    --server.active;
    if (server.waiting.empty())
    {
        return;
    }
    const auto next = std::move(server.waiting.front());
    server.waiting.pop_front();
    next();
}

void brittle_simulation::respond(const attempt_pointer& attempt,
                                 const server_entry& entry, outcome result)
{
    schedule(absl::Milliseconds(random(0.5, 2)),
             [this, attempt, entry, result, is_brittle = is_brittle_now()]
             { handle_response(attempt, entry, result, is_brittle); });
}

bool brittle_simulation::is_current(const attempt_pointer& attempt) const
{
    const auto& host = m_hosts[attempt->host];
    return host.choice && host.generation == attempt->generation;
}

void brittle_simulation::handle_response(const attempt_pointer& attempt,
                                         const server_entry& entry,
                                         outcome result, bool is_brittle)
{
    if (!is_current(attempt))
    {
        return;
    }
    auto& host = m_hosts[attempt->host];
    host.choice->end_attempt(entry.incarnation());
    static const std::map<outcome, attempt_outcome> outcomes{
        {outcome::served, attempt_outcome::succeeded},
        {outcome::rejected, attempt_outcome::rejected},
        {outcome::refused, attempt_outcome::unreachable},
        {outcome::broken, attempt_outcome::unreachable}};
    host.choice->record_outcome(entry.incarnation(), outcomes.at(result),
                                m_now);
    const bool has_answered =
        result == outcome::served || result == outcome::rejected;
    if (has_answered && is_brittle)
    {
        host.brittle.insert(entry.id);
    }
    host.slots->end(entry.id);
    if (has_answered)
    {
        record_response(attempt->host, entry, result, is_brittle,
                        attempt->sent_at);
    }
    check_changes(attempt->host);
    switch (result)
    {
    case outcome::served:
        ++m_result.served;
        return;
    case outcome::broken:
        return;
    case outcome::refused:
        if (++attempt->failed_connects < max_failed_connects)
        {
            try_servers(attempt);
            return;
        }
        reject(attempt);
        return;
    case outcome::rejected:
        if (is_brittle)
        {
            back_off(host, entry);
        }
        if (host.retry_tokens >= 1)
        {
            host.retry_tokens -= 1;
            try_servers(attempt);
            return;
        }
        reject(attempt);
        return;
    }
}

// Spreads the rejections of all hosts over time.
void brittle_simulation::back_off(brittle_host& host, const server_entry& entry)
{
    if (m_scenario.strategy != brittle_strategy::reactive)
    {
        return;
    }
    const auto seconds = std::clamp(static_cast<double>(m_scenario.hosts) /
                                        std::max(1, m_scenario.rejections),
                                    min_back_off_seconds, max_back_off_seconds);
    host.choice->set_back_off(entry.incarnation(),
                              m_now + absl::Seconds(seconds * random(1, 1.5)),
                              m_now);
}

// The host rejects a request; its caller may retry at another host.
void brittle_simulation::reject(const attempt_pointer& attempt)
{
    m_last_rejected_at = m_now;
    auto request = attempt->request;
    if (request.returns_left == 0)
    {
        return;
    }
    --request.returns_left;
    schedule(retry_after * random(1, 1.2),
             [this, request] { begin_request(request); });
}

} // namespace daleshelf
