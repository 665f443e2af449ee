#include "demand_meter.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

constexpr absl::Duration sample_time = absl::Seconds(1);
// Weight of the newest sample in the moving average. A falling rate is smoothed
// over about five seconds and a rising one over two, since upstreams take
// seconds to start.
constexpr double falling_weight = 0.2;
constexpr double rising_weight = 0.5;

double smooth(double before, double newest)
{
    const auto weight = newest > before ? rising_weight : falling_weight;
    return before + (newest - before) * weight;
}

service_work smooth(const service_work& before, const service_work& newest)
{
    return {smooth(before.prompts, newest.prompts),
            smooth(before.read_tokens, newest.read_tokens),
            smooth(before.read_tokens_squared, newest.read_tokens_squared),
            smooth(before.allowed_tokens, newest.allowed_tokens)};
}

} // namespace

void demand_meter::update(const std::map<host_id, reported_work>& work,
                          absl::Time now)
{
    for (const auto& [host, reported] : work)
    {
        const auto [known, is_new] =
            m_hosts.try_emplace(host, tracked_host{reported, {}, {}});
        if (!is_new && reported.reported_at > known->second.last.reported_at)
        {
            update(known->second, reported);
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
    auto newest = m_unsampled_work * (1 / absl::ToDoubleSeconds(passed));
    newest += slow_reporter_rates(now);
    const auto rate =
        m_rates.empty() ? newest : smooth(m_rates.back().rate, newest);
    m_rates.push_back({now, rate});
    m_unsampled_work = {};
    m_sampled_at = now;
    while (now - m_rates.front().at > m_retention)
    {
        m_rates.pop_front();
    }
}

// 1. The counters of a restarted host begin at zero.
// 2. Frequent reports add the work since the previous report.
// 3. Infrequent reports, as in a large fleet, set a rate that holds for two
// report intervals: nine seconds of work in one report are not a peak.
void demand_meter::update(tracked_host& host, const reported_work& reported)
{
    const bool has_restarted = reported.work.prompts < host.last.work.prompts;
    const auto done =
        has_restarted ? reported.work : reported.work - host.last.work;
    const auto passed = reported.reported_at - host.last.reported_at;
    if (passed <= sample_time)
    {
        m_unsampled_work += done;
        host.rate_until = absl::InfinitePast();
    }
    else
    {
        host.rate = done * (1 / absl::ToDoubleSeconds(passed));
        host.rate_until = reported.reported_at + 2 * passed;
    }
    host.last = reported;
}

service_work demand_meter::slow_reporter_rates(absl::Time now) const
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
    service_work peak_rate;
    for (const auto& [at, rate] : m_rates)
    {
        peak_rate.prompts = std::max(peak_rate.prompts, rate.prompts);
        peak_rate.read_tokens =
            std::max(peak_rate.read_tokens, rate.read_tokens);
        peak_rate.read_tokens_squared =
            std::max(peak_rate.read_tokens_squared, rate.read_tokens_squared);
        peak_rate.allowed_tokens =
            std::max(peak_rate.allowed_tokens, rate.allowed_tokens);
    }
    return peak_rate;
}

} // namespace daleshelf
