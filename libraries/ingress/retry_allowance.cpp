#include "retry_allowance.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Requests near the edge of a window may count in another one.
constexpr double safety = 0.8;

} // namespace

retry_allowance::retry_allowance(const retry_budget_options& options)
    : m_ratio(options.ratio * safety)
    , m_most(std::max(1.0,
                      options.slack * safety / std::max(1.0, options.machines)))
{
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
    return m_levels.try_emplace(service, m_most).first->second;
}

} // namespace daleshelf
