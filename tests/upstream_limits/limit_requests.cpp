// The requests of the model's callers, from a host to the upstream and back.
#include "limit_world.hpp"

#include <upstream_limits/limit_pacing.hpp>

namespace daleshelf
{

namespace
{

constexpr absl::Duration ask_time = absl::Milliseconds(100);
// An arrival counts once its host has passed a limit on for so long.
constexpr absl::Duration rule_told = absl::Milliseconds(500);

} // namespace

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
    const auto limit = host.quota->limits().limit_of(limited_upstream.id);
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
        advance(index, std::make_shared<waiting_claim>(host.quota->open_claim(
                           limited_upstream.id, 1, m_now)));
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
    if (step.result == claim_step::status::granted)
    {
        send_request(index);
        return;
    }
    if (step.result == claim_step::status::rejected)
    {
        const auto limit = host.quota->limits().limit_of(limited_upstream.id);
        host.passed_over_until =
            m_now + grant_back_off(limit.value_or(1), host.quota->fleet_size(),
                                   random(0, 1));
        return;
    }
    ++m_asks;
    send_quota(index, *step.request);
    const auto ask = step.request->message.sequence;
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
                 const auto limit = limit_at(m_plan, m_now - m_start);
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
    host.quota->record_response({limited_upstream, limit, sent_at}, m_now,
                                m_now);
    check_updates(index);
}

} // namespace daleshelf
