#include "token_quota.hpp"

#include <algorithm>

namespace daleshelf
{

token_quota::token_quota(initial_level initial) : m_initial(initial) {}

void token_quota::set_limits(const std::vector<ingress_tenant>& tenants,
                             absl::Time now)
{
    absl::flat_hash_map<workspace_id, bucket> buckets;
    for (const auto& tenant : tenants)
    {
        if (tenant.limit.rate_per_second <= 0)
        {
            continue;
        }
        bucket made;
        made.limit = tenant.limit;
        made.filled_at = now;
        const auto known = m_buckets.find(tenant.name);
        if (known != m_buckets.end())
        {
            fill(known->second, now);
            made.level = std::min(known->second.level, tenant.limit.burst);
        }
        else if (m_initial == initial_level::full)
        {
            made.level = tenant.limit.burst;
        }
        buckets[tenant.name] = made;
    }
    m_buckets = std::move(buckets);
}

void token_quota::set_reach(double share, absl::Time now)
{
    if (share == m_reach)
    {
        return;
    }
    for (auto& [tenant, filled] : m_buckets)
    {
        fill(filled, now);
    }
    m_reach = share;
}

bool token_quota::try_take(const workspace_id& tenant, double cost,
                           absl::Time now)
{
    const auto found = m_buckets.find(tenant);
    if (found == m_buckets.end())
    {
        return true;
    }
    auto& filled = found->second;
    fill(filled, now);
    // A request larger than the burst passes a full bucket and leaves a debt.
    const auto needed = std::min(cost, filled.limit.burst * m_reach);
    if (filled.level < needed)
    {
        return false;
    }
    filled.level -= cost;
    m_own_use[tenant] += cost;
    return true;
}

void token_quota::refund(const workspace_id& tenant, double cost)
{
    const auto found = m_buckets.find(tenant);
    if (found != m_buckets.end())
    {
        found->second.level += cost;
        m_own_use[tenant] -= cost;
    }
}

void token_quota::count_peer(const workspace_id& tenant, double cost)
{
    const auto found = m_buckets.find(tenant);
    if (found != m_buckets.end())
    {
        found->second.level -= cost;
    }
}

absl::Duration token_quota::wait_for(const workspace_id& tenant,
                                     double cost) const
{
    const auto found = m_buckets.find(tenant);
    if (found == m_buckets.end())
    {
        return absl::ZeroDuration();
    }
    const auto missing = std::max(0.0, cost - found->second.level);
    return absl::Seconds(missing /
                         (found->second.limit.rate_per_second * m_reach));
}

void token_quota::fill(bucket& filled, absl::Time now) const
{
    const auto passed = absl::ToDoubleSeconds(now - filled.filled_at);
    filled.filled_at = now;
    const auto most = filled.limit.burst * m_reach;
    const auto added = filled.limit.rate_per_second * m_reach * passed;
    filled.level = std::min(most, filled.level + added);
}

} // namespace daleshelf
