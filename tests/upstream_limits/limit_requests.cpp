// Simulated requests of callers, from a host to the upstream and back.
#include "limit_simulation.hpp"

#include <upstream_limits/limit_pacing.hpp>

namespace daleshelf
{

namespace
{

constexpr absl::Duration reply_timeout = absl::Milliseconds(100);
// An arrival counts once its host has forwarded a limit for this long.
constexpr absl::Duration rule_notice_time = absl::Milliseconds(500);

} // namespace

void limit_simulation::next_request()
{
    const auto index = random_host();
    const auto& host = m_hosts[index];
    if (host.quota && m_now >= host.frozen_until &&
        m_now >= host.back_off_until)
    {
        start_request(index);
    }
    const auto interval =
        std::exponential_distribution<double>(m_scenario.demand)(m_random);
    schedule(absl::Seconds(interval), [this] { next_request(); });
}

void limit_simulation::start_request(std::size_t index)
{
    auto& host = m_hosts[index];
    const auto limit = host.quota->limits().limit_of(limited_upstream.id);
    if (!limit || m_scenario.strategy == limit_strategy::unlimited)
    {
        send_request(index);
        return;
    }
    const auto hosts = static_cast<double>(host.quota->fleet_size());
    switch (m_scenario.strategy)
    {
    case limit_strategy::shares:
        if (host.bucket.take(*limit / hosts, 1, m_now))
        {
            send_request(index);
        }
        return;
    case limit_strategy::owner:
        request_from_owner(index, *limit);
        return;
    case limit_strategy::keepers:
    case limit_strategy::unlimited:
        advance_claim(
            index, std::make_shared<pending_claim>(
                       host.quota->open_claim(limited_upstream.id, 1, m_now)));
        return;
    }
}

// Hosts are in the order of their hashes. The requester treats the first host
// that runs and is reachable as the owner of the limit. The time to notice that
// an owner is gone is not simulated.
void limit_simulation::request_from_owner(std::size_t index, double limit)
{
    constexpr double capacity = 2;
    for (std::size_t owner = 0; owner < m_hosts.size(); ++owner)
    {
        const auto& candidate = m_hosts[owner];
        if (!candidate.quota || m_now < candidate.frozen_until ||
            !is_connected(candidate.hall_number, m_hosts[index].hall_number))
        {
            continue;
        }
        ++m_exchanges;
        send(index, owner,
             [this, index, owner, limit](limit_host& responder)
             {
                 if (responder.bucket.take(limit, capacity, m_now))
                 {
                     send(owner, index,
                          [this, index](limit_host&) { send_request(index); });
                 }
             });
        return;
    }
}

void limit_simulation::advance_claim(
    std::size_t index, const std::shared_ptr<pending_claim>& unfinished)
{
    auto& host = m_hosts[index];
    const auto step = host.quota->advance(unfinished->claim, m_now);
    if (step.result == claim_step::status::granted)
    {
        send_request(index);
        return;
    }
    if (step.result == claim_step::status::rejected)
    {
        const auto limit = host.quota->limits().limit_of(limited_upstream.id);
        host.back_off_until =
            m_now + grant_back_off(limit.value_or(1), host.quota->fleet_size(),
                                   random(0, 1));
        return;
    }
    ++m_exchanges;
    send_quota(index, *step.request);
    const auto request_sequence = step.request->message.sequence;
    host.pending[request_sequence] = unfinished;
    schedule_on_host(index, reply_timeout,
                     [this, index, request_sequence](limit_host& requester)
                     {
                         const auto timed_out =
                             requester.pending.find(request_sequence);
                         if (timed_out == requester.pending.end())
                         {
                             return;
                         }
                         const auto claim = timed_out->second;
                         requester.pending.erase(timed_out);
                         advance_claim(index, claim);
                     });
}

// Opening a new connection occasionally takes longer.
void limit_simulation::send_request(std::size_t index)
{
    constexpr double slow_probability = 0.02;
    const bool is_slow = random(0, 1) < slow_probability;
    const auto latency = is_slow ? random(20, 300) : random(0.3, 4);
    if (m_now >= m_cut_until ||
        !crosses_boundary(m_hosts[index].hall_number, 0))
    {
        schedule(absl::Milliseconds(latency),
                 [this, index, generation = m_hosts[index].generation,
                  sent_at = m_now] { arrive(index, generation, sent_at); });
    }
}

void limit_simulation::arrive(std::size_t index, int generation,
                              absl::Time sent_at)
{
    const auto& host = m_hosts[index];
    m_arrivals.push_back(
        {m_now, m_now - host.advertising_since >= rule_notice_time});
    schedule(absl::Milliseconds(random(5, 300)),
             [this, index, generation, sent_at]
             {
                 const auto limit = limit_at(m_scenario, m_now - m_start);
                 run_on_host(
                     index, generation,
                     [this, index, limit, sent_at](limit_host& responder)
                     { receive_response(responder, index, limit, sent_at); });
             });
}

void limit_simulation::receive_response(limit_host& host, std::size_t index,
                                        std::optional<double> limit,
                                        absl::Time sent_at)
{
    if (limit)
    {
        host.advertising_since = std::min(host.advertising_since, m_now);
        m_first_advertised_at = std::min(m_first_advertised_at, m_now);
    }
    host.quota->record_response({limited_upstream, limit, sent_at}, m_now,
                                m_now);
    check_updates(index);
}

} // namespace daleshelf
