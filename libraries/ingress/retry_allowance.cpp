#include "retry_allowance.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Requests near the edge of a window may count in another one.
constexpr double safety = 0.8;
constexpr double least_share = 1;
constexpr double least_machines = 4;
// Machines that are not known yet may be there.
constexpr double reserve = 1.3;

} // namespace

retry_allowance::retry_allowance(const retry_budget_options& options)
    : m_ratio(options.ratio * safety)
    , m_slack(options.slack * safety)
    , m_most(std::max(least_share, m_slack / options.assumed_machines))
{
}

void retry_allowance::set_machines(std::size_t machines)
{
    const auto expected =
        std::max(least_machines, static_cast<double>(machines) * reserve);
    m_most = std::max(least_share, m_slack / expected);
    for (auto& [service, left] : m_levels)
    {
        left = std::min(left, m_most);
    }
}

void retry_allowance::count_request(const service_name& service)
{
    auto& left = level(service);
    left = std::min(m_most, left + m_ratio);
}

bool retry_allowance::try_take(const service_name& service)
{
    auto& left = level(service);
    if (left < 1)
    {
        return false;
    }
    left -= 1;
    return true;
}

double& retry_allowance::level(const service_name& service)
{
    return m_levels.try_emplace(service, least_share).first->second;
}

} // namespace daleshelf
