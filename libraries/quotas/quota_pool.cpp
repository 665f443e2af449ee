#include "quota_pool.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// A machine that has not deposited for so long gives to another keeper, or to
// none: four pauses between deposits.
constexpr absl::Duration deposit_age = absl::Seconds(2);
// Of what the bound bears beyond the limit, so many seconds' worth are not
// given out: for deposits and requests on their way, and for machines that do
// not yet agree on how many there are.
constexpr double margin_seconds = 0.75;
// The rest is held beside the burst, for tenants with few and large requests,
// but for this part: it is overdrawn, so that large requests of a tenant at its
// limit find as much as small ones.
constexpr double overdraft_part = 0.3;
// A pool without a burst could never hold anything between two deposits.
constexpr double least_burst_seconds = 0.5;

} // namespace

quota_pool::quota_pool(const quota_options& options) : m_options(options) {}

void quota_pool::set_limits(const std::vector<ingress_tenant>& tenants)
{
    absl::flat_hash_map<workspace_id, account> accounts;
    for (const auto& tenant : tenants)
    {
        if (tenant.limit.rate_per_second <= 0)
        {
            continue;
        }
        account made;
        const auto known = m_accounts.find(tenant.name);
        if (known != m_accounts.end())
        {
            made = known->second;
        }
        made.limit = tenant.limit;
        accounts[tenant.name] = made;
    }
    m_accounts = std::move(accounts);
}

void quota_pool::deposit(const host_id& machine, incarnation started,
                         double share, double given, absl::Time now)
{
    auto& from = m_depositors[machine];
    if (started < from.started)
    {
        return;
    }
    if (from.started < started)
    {
        from = {started, 0, 0, absl::InfinitePast()};
    }
    const auto added = given - from.given;
    if (added < 0)
    {
        return;
    }
    from.given = given;
    from.share = share;
    from.heard_at = now;
    const auto part = weight(now);
    for (auto& [tenant, of] : m_accounts)
    {
        of.pool.balance = std::min(
            most(of, part), of.pool.balance + added * of.limit.rate_per_second);
    }
}

double quota_pool::take(const workspace_id& tenant, double wanted,
                        absl::Time now)
{
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end())
    {
        return 0;
    }
    auto& of = found->second;
    const auto part = weight(now);
    of.pool.balance = std::min(of.pool.balance, most(of, part));
    const auto granted =
        of.pool.balance <= 0
            ? 0.0
            : std::min(wanted, of.pool.balance + overdraft(of, part));
    of.pool.balance -= granted;
    of.pool.granted += granted;
    of.pool.refused += wanted - granted;
    return granted;
}

void quota_pool::give_back(const workspace_id& tenant, double amount,
                           absl::Time now)
{
    const auto found = m_accounts.find(tenant);
    if (found != m_accounts.end())
    {
        auto& pool = found->second.pool;
        pool.balance =
            std::min(most(found->second, weight(now)), pool.balance + amount);
    }
}

double quota_pool::rate_of(const workspace_id& tenant) const
{
    const auto found = m_accounts.find(tenant);
    return found == m_accounts.end() ? 0.0
                                     : found->second.limit.rate_per_second;
}

double quota_pool::weight(absl::Time now) const
{
    double sum = 0;
    for (const auto& [machine, from] : m_depositors)
    {
        sum += now - from.heard_at <= deposit_age ? from.share : 0.0;
    }
    return sum;
}

std::map<workspace_id, quota_pool::state> quota_pool::states() const
{
    std::map<workspace_id, state> states;
    for (const auto& [tenant, of] : m_accounts)
    {
        states[tenant] = of.pool;
    }
    return states;
}

std::map<workspace_id, double> quota_pool::drain()
{
    std::map<workspace_id, double> drained;
    for (auto& [tenant, of] : m_accounts)
    {
        if (of.pool.balance > 0)
        {
            drained[tenant] = of.pool.balance;
            of.pool.balance = 0;
        }
    }
    return drained;
}

double quota_pool::most(const account& of, double weight) const
{
    const auto burst = std::max(of.limit.burst,
                                of.limit.rate_per_second * least_burst_seconds);
    return (burst + beyond(of) * (1 - overdraft_part)) * weight;
}

double quota_pool::overdraft(const account& of, double weight) const
{
    return beyond(of) * overdraft_part * weight;
}

// What all pools together may hold beyond the burst.
double quota_pool::beyond(const account& of) const
{
    const auto rate = of.limit.rate_per_second;
    const auto limit =
        rate * absl::ToDoubleSeconds(m_options.window) + of.limit.burst;
    const auto borne = limit * m_options.overshoot + m_options.slack;
    return std::max(0.0, borne - rate * margin_seconds);
}

} // namespace daleshelf
