#include "retry_budget_share.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Requests near the edge of an accounting window may count in another one.
constexpr double safety_factor = 0.8;
constexpr double min_share = 1;
constexpr double min_hosts = 4;
// Allows for hosts that are not known yet.
constexpr double unknown_hosts_factor = 1.3;

} // namespace

retry_budget_share::retry_budget_share(const retry_budget_options& options)
    : m_ratio(options.ratio * safety_factor)
    , m_slack(options.slack * safety_factor)
    , m_max_balance(std::max(min_share, m_slack / options.assumed_hosts))
{
}

void retry_budget_share::set_hosts(std::size_t hosts)
{
    const auto expected =
        std::max(min_hosts, static_cast<double>(hosts) * unknown_hosts_factor);
    m_max_balance = std::max(min_share, m_slack / expected);
    for (auto& [service, remaining] : m_balances)
    {
        remaining = std::min(remaining, m_max_balance);
    }
}

void retry_budget_share::count_request(const service_name& service)
{
    auto& remaining = balance(service);
    remaining = std::min(m_max_balance, remaining + m_ratio);
}

bool retry_budget_share::try_take(const service_name& service)
{
    auto& remaining = balance(service);
    if (remaining < 1)
    {
        return false;
    }
    remaining -= 1;
    return true;
}

void retry_budget_share::refund(const service_name& service)
{
    auto& remaining = balance(service);
    remaining = std::min(m_max_balance, remaining + 1);
}

double& retry_budget_share::balance(const service_name& service)
{
    return m_balances.try_emplace(service, min_share).first->second;
}

} // namespace daleshelf
