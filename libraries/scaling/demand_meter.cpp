#include "demand_meter.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

constexpr absl::Duration sample_time = absl::Seconds(1);
// Weight of the newest sample: a smooth rate over about five seconds when it
// falls, over two when it rises, since servers take seconds to start.
constexpr double falling_weight = 0.2;
constexpr double rising_weight = 0.5;

double follow(double before, double newest)
{
    const auto weight = newest > before ? rising_weight : falling_weight;
    return before + (newest - before) * weight;
}

service_work follow(const service_work& before, const service_work& newest)
{
    return {follow(before.prompts, newest.prompts),
            follow(before.read_tokens, newest.read_tokens),
            follow(before.read_tokens_squared, newest.read_tokens_squared),
            follow(before.allowed_tokens, newest.allowed_tokens)};
}

} // namespace

void demand_meter::note(const std::map<host_id, told_work>& work,
                        absl::Time now)
{
    for (const auto& [host, told] : work)
    {
        const auto [known, is_new] =
            m_hosts.try_emplace(host, heard_host{told, {}, {}});
        if (!is_new && told.told_at > known->second.last.told_at)
        {
            note(known->second, told);
        }
    }
    if (m_sampled_at == absl::InfinitePast())
    {
        m_sampled_at = now;
        return;
    }
    const auto passed = now - m_sampled_at;
    if (passed < sample_time)
    {
        return;
    }
    auto newest = m_sum * (1 / absl::ToDoubleSeconds(passed));
    newest += told_rates(now);
    const auto rate =
        m_rates.empty() ? newest : follow(m_rates.back().rate, newest);
    m_rates.push_back({now, rate});
    m_sum = {};
    m_sampled_at = now;
    while (now - m_rates.front().at > m_memory)
    {
        m_rates.pop_front();
    }
}

// 1. A host that has started again counts from zero.
// 2. One that tells often adds what it has done since.
// 3. One that tells rarely, as in a large fleet, is taken to go on at its rate
// until it should have told twice: nine seconds' work that is heard at once is
// no peak.
void demand_meter::note(heard_host& host, const told_work& told)
{
    const bool has_started = told.work.prompts < host.last.work.prompts;
    const auto done = has_started ? told.work : told.work - host.last.work;
    const auto passed = told.told_at - host.last.told_at;
    if (passed <= sample_time)
    {
        m_sum += done;
        host.rate_until = absl::InfinitePast();
    }
    else
    {
        host.rate = done * (1 / absl::ToDoubleSeconds(passed));
        host.rate_until = told.told_at + 2 * passed;
    }
    host.last = told;
}

service_work demand_meter::told_rates(absl::Time now) const
{
    service_work sum;
    for (const auto& [name, host] : m_hosts)
    {
        if (now < host.rate_until)
        {
            sum += host.rate;
        }
    }
    return sum;
}

service_work demand_meter::peak() const
{
    service_work most;
    for (const auto& [at, rate] : m_rates)
    {
        most.prompts = std::max(most.prompts, rate.prompts);
        most.read_tokens = std::max(most.read_tokens, rate.read_tokens);
        most.read_tokens_squared =
            std::max(most.read_tokens_squared, rate.read_tokens_squared);
        most.allowed_tokens =
            std::max(most.allowed_tokens, rate.allowed_tokens);
    }
    return most;
}

} // namespace daleshelf
