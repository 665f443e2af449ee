#include "load_exchange.hpp"

#include "aggregator_rank.hpp"
#include "table_lifetime.hpp"

#include <xxhash.h>

#include <algorithm>
#include <peers/relay_tree.hpp>

namespace daleshelf
{

namespace
{

// Two aggregators: the second's tables are used at once when the first fails.
constexpr std::size_t aggregators_per_hall = 2;
// A report is repeated before the aggregators drop it.
constexpr absl::Duration repeat_interval = absl::Milliseconds(500);
// Three reports in a row are missing: the host has failed or is cut off.
constexpr absl::Duration report_lifetime = absl::Milliseconds(1500);
// A table that counts an older report of this host is out of date: it was made
// from reports up to `report_lifetime` old and heard within `table_lifetime`.
constexpr absl::Duration own_report_lifetime = absl::Milliseconds(2500);
// Delayed messages of a host are recognized for this long after its last.
constexpr absl::Duration sequence_lifetime = absl::Seconds(10);
// Each host receives at most 4 KB a second from the two aggregators together.
constexpr double bytes_per_second = 2000;
// Headers of IPv4 and UDP, which count as bytes received.
constexpr std::size_t header_size = 28;
// A host that forwards the tables of both aggregators sends up to 12 KB a
// second, with eight children 32 KB.
constexpr std::size_t table_fanout = 3;
// Beyond it, sums expire at the other halls before they are replaced.
constexpr absl::Duration max_interval = absl::Milliseconds(1250);
constexpr std::size_t max_sum_size = 2500 - header_size; // by the two above
// First sequence numbers are below this: a table with a report of an earlier
// incarnation of this host does not match one of this incarnation.
constexpr std::uint64_t first_sequences = 1 << 20;

template <typename Messages>
void drop_expired(Messages& messages, absl::Time now)
{
    for (auto& [host, received] : messages)
    {
        if (now - received.received_at >= report_lifetime)
        {
            received.message.report = {};
            received.message.included.clear();
        }
    }
    std::erase_if(
        messages, [now](const auto& entry)
        { return now - entry.second.received_at >= sequence_lifetime; });
}

absl::Duration interval_of(std::size_t size)
{
    return absl::Seconds(static_cast<double>(size + header_size) /
                         bytes_per_second);
}

} // namespace

load_exchange::load_exchange(host_id self, hall_id hall, incarnation started)
    : m_self(std::move(self)), m_hall(std::move(hall)), m_started(started)
{
    const auto value = m_started.value();
    m_sequence = static_cast<std::int64_t>(XXH3_64bits(&value, sizeof value) %
                                           first_sequences);
}

std::vector<load_datagram>
load_exchange::tick(const shared_loads& own,
                    const std::vector<load_peer>& peers, absl::Time now)
{
    std::vector<load_datagram> out;
    update_view(peers);
    drop_expired(m_reports, now);
    drop_expired(m_halls, now);
    drop_expired(m_tables, now);
    update_readiness(now);
    report_to_aggregators(own, now, out);
    m_own_table.reset();
    if (m_is_ready)
    {
        distribute(own, now, out);
    }
    return out;
}

std::vector<load_datagram> load_exchange::receive(std::string_view bytes,
                                                  absl::Time now)
{
    std::vector<load_datagram> out;
    auto message = decode_load_message(bytes);
    if (!message || message->host == m_self)
    {
        return out;
    }
    const auto root = message->host;
    switch (message->scope)
    {
    case load_scope::host:
        if (message->hall == m_hall)
        {
            replace_older(m_reports, std::move(*message), now);
        }
        break;
    case load_scope::hall:
        if (message->hall != m_hall)
        {
            replace_older(m_halls, std::move(*message), now);
        }
        break;
    case load_scope::fleet:
        if (message->hall == m_hall &&
            replace_older(m_tables, std::move(*message), now))
        {
            relay(root, bytes, out);
        }
        break;
    }
    return out;
}

// Selects the aggregators of each hall among the hosts in contact.
void load_exchange::update_view(const std::vector<load_peer>& peers)
{
    m_hall_peers.clear();
    m_aggregators.clear();
    m_aggregators[m_hall].push_back(m_self);
    for (const auto& peer : peers)
    {
        // The hall of a peer is empty until its first state arrives.
        if (peer.hall.empty() && !m_hall.empty())
        {
            continue;
        }
        m_aggregators[peer.hall].push_back(peer.name);
        if (peer.hall == m_hall)
        {
            m_hall_peers.push_back(peer.name);
        }
    }
    for (auto& [hall, hosts] : m_aggregators)
    {
        const auto count = std::min(hosts.size(), aggregators_per_hall);
        std::partial_sort(hosts.begin(),
                          hosts.begin() + static_cast<std::ptrdiff_t>(count),
                          hosts.end(),
                          [&hall = hall](const auto& left, const auto& right) {
                              return rank_of(left, hall) > rank_of(right, hall);
                          });
        hosts.resize(count);
    }
}

bool load_exchange::is_aggregator(const host_id& host) const
{
    // Messages arrive before the first tick, which selects the aggregators.
    const auto own = m_aggregators.find(m_hall);
    return own != m_aggregators.end() &&
           std::find(own->second.begin(), own->second.end(), host) !=
               own->second.end();
}

// A new aggregator has incomplete sums. It distributes none until all hosts
// have reported, or those that do not have failed. After a suspension, the
// socket delivers messages of any age: they are replaced or expire within the
// same time.
void load_exchange::update_readiness(absl::Time now)
{
    const bool was_frozen = m_ticked_at != absl::InfinitePast() &&
                            now - m_ticked_at >= table_lifetime;
    m_ticked_at = now;
    if (!is_aggregator(m_self))
    {
        m_aggregator_since = absl::InfiniteFuture();
        m_is_ready = false;
        return;
    }
    if (m_aggregator_since == absl::InfiniteFuture() || was_frozen)
    {
        m_aggregator_since = now;
        m_is_ready = false;
        m_has_old_messages = was_frozen;
    }
    m_is_ready = m_is_ready || (!m_has_old_messages && has_heard_all()) ||
                 now - m_aggregator_since >= report_lifetime;
}

// Whether each host of the hall and each other hall has sent its loads.
bool load_exchange::has_heard_all() const
{
    const auto is_recent = [this](const auto& received)
    { return m_ticked_at - received.received_at < report_lifetime; };
    for (const auto& host : m_hall_peers)
    {
        const auto report = m_reports.find(host);
        if (report == m_reports.end() || !is_recent(report->second))
        {
            return false;
        }
    }
    return std::all_of(m_aggregators.begin(), m_aggregators.end(),
                       [&](const auto& aggregators)
                       {
                           return aggregators.first == m_hall ||
                                  std::any_of(
                                      m_halls.begin(), m_halls.end(),
                                      [&](const auto& entry)
                                      {
                                          return entry.second.message.hall ==
                                                     aggregators.first &&
                                                 is_recent(entry.second);
                                      });
                       });
}

// Reports this host's loads if they changed, or before the last report expires.
void load_exchange::report_to_aggregators(const shared_loads& own,
                                          absl::Time now,
                                          std::vector<load_datagram>& out)
{
    const auto& aggregators = m_aggregators.at(m_hall);
    const bool is_changed =
        m_own_reports.empty() || m_reported_to != aggregators ||
        m_own_reports.back().message.report.loads != own.loads ||
        m_own_reports.back().message.report.slowdowns != own.slowdowns;
    if (!is_changed && now - m_own_reports.back().sent_at < repeat_interval)
    {
        return;
    }
    auto message = make_message(load_scope::host);
    message.report = own;
    const auto bytes = encode(message);
    m_own_reports.push_back({std::move(message), now});
    while (now - m_own_reports.front().sent_at >= own_report_lifetime)
    {
        m_own_reports.pop_front();
    }
    m_reported_to = aggregators;
    for (const auto& aggregator : aggregators)
    {
        if (aggregator != m_self)
        {
            out.push_back({aggregator, bytes});
        }
    }
}

// Sends the sums of the hall to the other halls, and those of all halls to the
// hosts of the hall. Sums of two aggregators are never added.
void load_exchange::distribute(const shared_loads& own, absl::Time now,
                               std::vector<load_datagram>& out)
{
    auto hall_sum = sum_of_hall(own, now);
    auto table = hall_sum;
    table.scope = load_scope::fleet;
    add_other_halls(table.report, now);
    const auto bytes = encode(table);
    // An incomplete table would show the upstreams that it lacks as idle:
    // without one, hosts use gossiped loads. The other halls receive as much of
    // the sum as makes their tables too large as well.
    const bool is_complete = bytes.size() <= max_sum_size;
    if (is_complete)
    {
        m_own_table = table.report;
        m_own_table->subtract(own);
        m_own_table_at = now;
    }
    // Other halls use the sums of the highest-ranked aggregator: sent with each
    // tick, so that loads do not wait for the table interval twice.
    const bool is_due = is_table_due(now);
    if (is_due || m_aggregators.at(m_hall).front() == m_self)
    {
        send_to_other_halls(std::move(hall_sum), out);
    }
    if (!is_due)
    {
        return;
    }
    m_distributed_at = now;
    m_interval = std::min(interval_of(bytes.size()), max_interval);
    if (is_complete)
    {
        relay(m_self, bytes, out);
    }
}

// The second aggregator sends once for each table of the first, half an
// interval later: at long intervals, hosts would lack a table between two of
// the first. If the first is silent, the second keeps its own interval.
bool load_exchange::is_table_due(absl::Time now) const
{
    const auto& first = m_aggregators.at(m_hall).front();
    const auto table = m_tables.find(first);
    const bool is_first_silent =
        table == m_tables.end() ||
        now - table->second.received_at >= 1.5 * m_interval;
    if (first == m_self || is_first_silent)
    {
        return now - m_distributed_at >= m_interval;
    }
    const auto heard_at = table->second.received_at;
    return now - heard_at >= m_interval / 2 && m_distributed_at < heard_at;
}

void load_exchange::send_to_other_halls(load_message sum,
                                        std::vector<load_datagram>& out) const
{
    sum.included.clear(); // Only the hosts of this hall use it.
    const auto bytes = encode(sum, max_sum_size);
    for (const auto& [hall, aggregators] : m_aggregators)
    {
        if (hall == m_hall)
        {
            continue;
        }
        for (const auto& aggregator : aggregators)
        {
            out.push_back({aggregator, bytes});
        }
    }
}

// Aggregators are leaves of each other's trees: when one is killed, no host
// loses the tables of both. The root sends to them itself.
void load_exchange::relay(const host_id& root, std::string_view bytes,
                          std::vector<load_datagram>& out) const
{
    if (root != m_self && is_aggregator(m_self))
    {
        return;
    }
    std::vector<host_id> others;
    for (const auto& host : m_hall_peers)
    {
        if (!is_aggregator(host))
        {
            others.push_back(host);
        }
        else if (root == m_self)
        {
            out.push_back({host, std::string(bytes)});
        }
    }
    for (auto& child : relay_children(root, m_self, others, table_fanout))
    {
        out.push_back({std::move(child), std::string(bytes)});
    }
}

load_message load_exchange::make_message(load_scope scope)
{
    load_message message;
    message.scope = scope;
    message.host = m_self;
    message.hall = m_hall;
    message.started = m_started;
    message.sequence = ++m_sequence;
    return message;
}

load_message load_exchange::sum_of_hall(const shared_loads& own, absl::Time now)
{
    auto sum = make_message(load_scope::hall);
    sum.report = own;
    for (const auto& [host, report] : m_reports)
    {
        if (now - report.received_at >= report_lifetime)
        {
            continue;
        }
        sum.report.add(report.message.report);
        sum.included[host] = report.message.sequence;
    }
    return sum;
}

// Adds the sums of each other hall once: those by its highest-ranked aggregator
// that was heard.
void load_exchange::add_other_halls(shared_loads& sum, absl::Time now) const
{
    std::map<hall_id, const load_message*> highest;
    for (const auto& [host, received] : m_halls)
    {
        if (now - received.received_at >= report_lifetime)
        {
            continue;
        }
        const auto& message = received.message;
        auto& chosen = highest[message.hall];
        if (chosen == nullptr ||
            rank_of(host, message.hall) > rank_of(chosen->host, message.hall))
        {
            chosen = &message;
        }
    }
    for (const auto& [hall, message] : highest)
    {
        sum.add(message->report);
    }
}

} // namespace daleshelf
