#include "quota_pool.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

// A host that has not deposited for so long gives to another keeper, or to
// none: four pauses between deposits.
constexpr absl::Duration deposit_age = absl::Seconds(2);
// So many seconds' worth of the bound are not given out, since deposits count
// when they come: they hold what was earned within up to 0.6 s, and take up to
// 0.4 s on their way. In the model 0.75 broke one fleet of 7,000 by 1.2 %, with
// datagrams on their way for up to 0.5 s.
constexpr double margin_seconds = 1;
// Pools hold at least what is earned within this time, in seconds: more than a
// pause between deposits.
constexpr double least_held_seconds = 0.6;
// What one deposit adds at the most: as long as hosts keep what they cannot
// give. In seconds.
constexpr double longest_deposit = 0.6;
// This part of what a pool may hold is overdrawn instead, so that large
// requests of a workspace at its limit find as much as small ones.
constexpr double overdraft_part = 0.3;
// Least rate for an upstream, in requests a second: one in five seconds stays
// within the slack of a limit of 0.
constexpr double least_upstream_rate = 0.2;

} // namespace

quota_pool::quota_pool(const quota_options& options) : m_options(options) {}

void quota_pool::set_limits(const std::vector<ingress_tenant>& workspaces)
{
    absl::flat_hash_set<workspace_id> limited;
    for (const auto& workspace : workspaces)
    {
        if (workspace.limit.rate_per_second <= 0)
        {
            continue;
        }
        limited.insert(workspace.name);
        auto& of = m_accounts[workspace.name];
        of.limit = workspace.limit;
        of.bound = m_options;
    }
    absl::erase_if(m_accounts,
                   [&](const auto& entry)
                   {
                       const auto& subject = entry.first;
                       return !subject.is_upstream() &&
                              !limited.contains(subject.workspace);
                   });
}

void quota_pool::limit_upstream(const upstream_id& upstream, double per_second)
{
    auto& of = m_accounts[upstream];
    of.limit = {std::max(per_second, least_upstream_rate), 0};
    of.bound = upstream_bound;
}

void quota_pool::lift_limit(const upstream_id& upstream)
{
    m_accounts.erase(upstream);
}

void quota_pool::deposit(const deposit_report& report, absl::Time now)
{
    auto& from = m_depositors[report.host];
    if (report.started < from.started)
    {
        return;
    }
    if (from.started < report.started)
    {
        from = {report.started, 0, 0, absl::InfinitePast()};
    }
    if (report.given < from.given)
    {
        return;
    }
    // Deposits that were lost for longer are: their time has passed.
    const auto added = report.is_late
                           ? 0.0
                           : std::min(report.given - from.given,
                                      report.share * longest_deposit);
    from.given = report.given;
    from.share = report.share;
    from.heard_at = now;
    const auto part = weight(now);
    for (auto& [subject, of] : m_accounts)
    {
        of.pool.balance =
            std::min(held(of, part) * (1 - overdraft_part),
                     of.pool.balance + added * earned_a_second(of));
    }
}

double quota_pool::take(const quota_subject& subject, double wanted,
                        absl::Time now)
{
    const auto found = m_accounts.find(subject);
    if (found == m_accounts.end())
    {
        return 0;
    }
    auto& of = found->second;
    const auto most = held(of, weight(now));
    const auto overdraft = most * overdraft_part;
    of.pool.balance = std::min(of.pool.balance, most - overdraft);
    auto granted = of.pool.balance <= 0
                       ? 0.0
                       : std::min(wanted, of.pool.balance + overdraft);
    if (subject.is_upstream() && granted < std::min(wanted, most))
    {
        granted = 0;
    }
    of.pool.balance -= granted;
    of.pool.granted += granted;
    of.pool.refused += wanted - granted;
    return granted;
}

void quota_pool::give_back(const quota_subject& subject, double amount,
                           absl::Time now)
{
    const auto found = m_accounts.find(subject);
    if (found != m_accounts.end())
    {
        auto& of = found->second;
        of.pool.balance = std::min(held(of, weight(now)) * (1 - overdraft_part),
                                   of.pool.balance + amount);
    }
}

double quota_pool::rate_of(const quota_subject& subject) const
{
    const auto found = m_accounts.find(subject);
    return found == m_accounts.end() ? 0.0
                                     : found->second.limit.rate_per_second;
}

double quota_pool::weight(absl::Time now) const
{
    double sum = 0;
    for (const auto& [host, from] : m_depositors)
    {
        sum += now - from.heard_at <= deposit_age ? from.share : 0.0;
    }
    return sum;
}

std::map<workspace_id, quota_pool::state> quota_pool::states() const
{
    std::map<workspace_id, state> states;
    for (const auto& [subject, of] : m_accounts)
    {
        if (!subject.is_upstream())
        {
            states[subject.workspace] = of.pool;
        }
    }
    return states;
}

// As much as the limit comes to a second, unless too little would be left of
// the bound for what pools hold.
double quota_pool::earned_a_second(const account& of)
{
    const auto window = absl::ToDoubleSeconds(of.bound.window);
    return std::min(limit_of_window(of) / window,
                    bound_of_window(of) /
                        (window + margin_seconds + least_held_seconds));
}

double quota_pool::held(const account& of, double weight)
{
    const auto window = absl::ToDoubleSeconds(of.bound.window);
    const auto given = earned_a_second(of) * (window + margin_seconds);
    return (bound_of_window(of) - given) * weight;
}

double quota_pool::limit_of_window(const account& of)
{
    return of.limit.rate_per_second * absl::ToDoubleSeconds(of.bound.window) +
           of.limit.burst;
}

double quota_pool::bound_of_window(const account& of)
{
    return limit_of_window(of) * (1 + of.bound.overshoot) + of.bound.slack;
}

} // namespace daleshelf
