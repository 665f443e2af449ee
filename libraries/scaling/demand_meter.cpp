#include "demand_meter.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

constexpr absl::Duration sample_time = absl::Seconds(1);
// Weight of the newest sample: a smooth rate over about five seconds.
constexpr double newest_weight = 0.2;

} // namespace

void demand_meter::note(const std::map<host_id, double>& work, absl::Time now)
{
    for (const auto& [machine, total] : work)
    {
        const auto [known, is_new] = m_last.try_emplace(machine, total);
        if (!is_new)
        {
            // A machine that has started again counts from zero.
            m_sum += total >= known->second ? total - known->second : total;
            known->second = total;
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
    const auto newest = m_sum / absl::ToDoubleMilliseconds(passed);
    const auto before = m_rates.empty() ? newest : m_rates.back().busy;
    m_rates.push_back({now, before + (newest - before) * newest_weight});
    m_sum = 0;
    m_sampled_at = now;
    while (now - m_rates.front().at > m_memory)
    {
        m_rates.pop_front();
    }
}

double demand_meter::busy() const
{
    double most = 0;
    for (const auto& rate : m_rates)
    {
        most = std::max(most, rate.busy);
    }
    return most;
}

} // namespace daleshelf
