// Simulated exchanges between hosts about limits and slots.
#include "brittle_simulation.hpp"

#include <algorithm>
#include <upstream_limits/limit_message.hpp>

namespace daleshelf
{

namespace
{

// Values of services/gateway.
constexpr absl::Duration reply_timeout = absl::Milliseconds(100);
constexpr absl::Duration flush_delay = absl::Microseconds(100);
constexpr absl::Duration tick_interval = absl::Milliseconds(250);
constexpr absl::Duration gossip_delay = absl::Milliseconds(50);
constexpr absl::Duration pass_over_time = absl::Milliseconds(4);
constexpr absl::Duration start_time = absl::Seconds(3);
constexpr absl::Duration reach_timeout = absl::Seconds(2);
constexpr std::size_t gossip_recipients = 8;
constexpr std::size_t max_records = 64;

} // namespace

// Runs on the same process of a host, unless it is killed before.
void brittle_simulation::run_later(std::size_t index, absl::Duration after,
                                   std::function<void(brittle_host&)> run)
{
    schedule(after,
             [this, index, generation = m_hosts[index].generation,
              run = std::move(run)]
             {
                 auto& host = m_hosts[index];
                 if (host.generation == generation && host.slots)
                 {
                     run(host);
                 }
             });
}

void brittle_simulation::send_to(std::size_t from, std::size_t to,
                                 std::function<void(brittle_host&)> receive)
{
    const auto& sender = m_hosts[from];
    const auto& receiver = m_hosts[to];
    if (!receiver.slots || is_lost() ||
        !is_connected(sender.hall_number, receiver.hall_number))
    {
        return;
    }
    run_later(to, delay_between(sender.hall_number, receiver.hall_number),
              std::move(receive));
}

std::optional<brittle_upstream>
brittle_simulation::brittle_entry(const brittle_host& host,
                                  const server_entry& server) const
{
    if (m_scenario.strategy != brittle_strategy::keepers)
    {
        return std::nullopt;
    }
    const auto limit =
        host.limits.limit_of(server.incarnation(), server.service, m_now);
    const bool is_starting = m_now - host.started_at < start_time;
    const bool is_enforced =
        limit && host.limits.is_introduced(server.service, m_now, m_now);
    if (!is_enforced && !is_starting)
    {
        return std::nullopt;
    }
    return brittle_upstream{server.incarnation(), server.hall, server.slots,
                            limit};
}

void brittle_simulation::advance_claim(const attempt_pointer& attempt,
                                       const server_entry& server,
                                       const std::shared_ptr<slot_claim>& claim)
{
    auto& host = m_hosts[attempt->host];
    const auto step = host.slots->advance(*claim, m_now);
    switch (step.result)
    {
    case slot_claim_step::status::granted:
        send(attempt, server);
        return;
    case slot_claim_step::status::denied:
        pass_over(attempt, server);
        return;
    case slot_claim_step::status::pending:
        await_reply(attempt, server, claim, *step.request);
        return;
    }
}

void brittle_simulation::await_reply(const attempt_pointer& attempt,
                                     const server_entry& server,
                                     const std::shared_ptr<slot_claim>& claim,
                                     const addressed_slot_message& request)
{
    const auto sequence = request.message.sequence;
    const auto resume = [this, attempt, server, claim]
    { advance_claim(attempt, server, claim); };
    m_hosts[attempt->host].pending[sequence] = resume;
    send_slots(attempt->host, request);
    run_later(attempt->host, reply_timeout,
              [resume, sequence](brittle_host& waiting)
              {
                  if (waiting.pending.erase(sequence) > 0)
                  {
                      resume();
                  }
              });
}

void brittle_simulation::pass_over(const attempt_pointer& attempt,
                                   const server_entry& server)
{
    auto& host = m_hosts[attempt->host];
    host.choice->pass_over(server.incarnation(),
                           m_now + pass_over_time * random(0.5, 1.5));
    attempt->excluded.insert(server.id);
    check_changes(attempt->host);
    try_servers(attempt);
}

void brittle_simulation::send_slots(std::size_t from,
                                    const addressed_slot_message& message)
{
    ++m_result.messages_per_request;
    const auto to = m_index.at(message.to);
    send_to(from, to,
            [this, to, sent = message.message](brittle_host&)
            { receive_slots(to, sent); });
}

void brittle_simulation::receive_slots(std::size_t to,
                                       const slot_message& message)
{
    auto& host = m_hosts[to];
    if (auto reply = host.slots->receive(message, m_now))
    {
        send_slots(to, {message.from, std::move(*reply)});
    }
    const auto pending = host.pending.find(message.in_reply_to);
    if (pending != host.pending.end() &&
        host.slots->has_reply(message.in_reply_to))
    {
        const auto resume = std::move(pending->second);
        host.pending.erase(pending);
        resume();
    }
}

void brittle_simulation::check_changes(std::size_t index)
{
    auto& host = m_hosts[index];
    if (!host.slots->has_changes() || host.is_flush_due)
    {
        return;
    }
    host.is_flush_due = true;
    run_later(index, flush_delay,
              [this, index](brittle_host& flushing)
              {
                  flushing.is_flush_due = false;
                  for (const auto& message :
                       flushing.slots->take_changes(m_now))
                  {
                      send_slots(index, message);
                  }
              });
}

void brittle_simulation::tick(std::size_t index)
{
    auto& host = m_hosts[index];
    update_peers(index);
    apply_limits(index);
    for (const auto& message : host.slots->tick(m_now))
    {
        send_slots(index, message);
    }
    check_changes(index);
    run_later(index, tick_interval,
              [this, index](brittle_host&) { tick(index); });
}

void brittle_simulation::update_peers(std::size_t index)
{
    auto& host = m_hosts[index];
    if (std::exchange(host.known_topology, m_topology) == m_topology)
    {
        return;
    }
    std::vector<slot_host> peers;
    for (const auto& other : m_hosts)
    {
        if (other.name != host.name)
        {
            peers.push_back(
                {other.name, other.hall, seems_reachable(host, other)});
        }
    }
    host.slots->set_peers(std::move(peers));
}

// Hosts learn of a change at once, or when the reach timeout has passed.
void brittle_simulation::change_topology(absl::Duration change_time)
{
    for (const auto after : {absl::ZeroDuration(), reach_timeout, change_time})
    {
        schedule(after + absl::Milliseconds(1), [this] { ++m_topology; });
    }
}

// A host that is gone is noticed after a while.
bool brittle_simulation::seems_reachable(const brittle_host& from,
                                         const brittle_host& to) const
{
    const bool is_running =
        to.slots != nullptr || m_now - to.stopped_at < reach_timeout;
    return is_running && (is_connected(from.hall_number, to.hall_number) ||
                          m_now - m_cut_since < reach_timeout);
}

void brittle_simulation::record_response(std::size_t index,
                                         const server_entry& entry,
                                         outcome result, bool is_brittle,
                                         absl::Time sent_at)
{
    auto& host = m_hosts[index];
    if (is_brittle && result == outcome::rejected)
    {
        host.slots->record_rejection(entry.id);
    }
    const auto limit = is_brittle ? std::optional<double>(m_scenario.rejections)
                                  : std::nullopt;
    host.limits.record_response(
        {entry.incarnation(), entry.service, limit, sent_at}, m_now, m_now);
    gossip_limits(index);
}

// Reports the use of upstreams that are known to be brittle.
void brittle_simulation::apply_limits(std::size_t index)
{
    auto& host = m_hosts[index];
    absl::btree_set<upstream_id> tracked;
    for (const auto& server : host.servers->usable(service_name("brittle")))
    {
        const auto& entry = *server.entry;
        const auto* record = host.limits.find_current(entry.incarnation());
        if (record != nullptr && record->per_second)
        {
            host.limits.mark_service(entry.service, *record->per_second,
                                     record->advertised_at, m_now);
        }
    }
    for (const auto& server : host.servers->usable(service_name("brittle")))
    {
        const auto& entry = *server.entry;
        const auto limit =
            host.limits.limit_of(entry.incarnation(), entry.service, m_now);
        if (!limit)
        {
            continue;
        }
        host.slots->track(
            {entry.incarnation(), entry.hall, entry.slots, limit});
        tracked.insert(entry.id);
    }
    host.slots->track_only(tracked);
}

void brittle_simulation::gossip_limits(std::size_t index)
{
    auto& host = m_hosts[index];
    if (!host.limits.table().has_updates() || host.is_gossip_due)
    {
        return;
    }
    host.is_gossip_due = true;
    run_later(index, gossip_delay,
              [this, index](brittle_host& sender)
              {
                  sender.is_gossip_due = false;
                  std::vector<limit_record> records;
                  for (const auto& update :
                       sender.limits.table().take_updates(max_records))
                  {
                      records.push_back(update.record);
                  }
                  apply_limits(index);
                  for (std::size_t number = 0; number < gossip_recipients;
                       ++number)
                  {
                      send_limits(index, random_index(m_hosts.size()), records);
                  }
              });
}

void brittle_simulation::send_limits(std::size_t from, std::size_t to,
                                     const std::vector<limit_record>& records)
{
    send_to(from, to,
            [this, to, records](brittle_host& receiver)
            {
                for (const auto& record : records)
                {
                    receiver.limits.table().merge(record, m_now);
                }
                gossip_limits(to);
            });
}

// A peer sends its records to a host that has started.
void brittle_simulation::greet(std::size_t index)
{
    run_later(index, absl::Seconds(random(0.05, 0.3)),
              [this, index](brittle_host&)
              {
                  const auto peer = random_index(m_hosts.size());
                  if (m_hosts[peer].slots)
                  {
                      send_limits(
                          peer, index,
                          m_hosts[peer].limits.table().newest(max_records));
                  }
              });
}

} // namespace daleshelf
