#include "token_quota.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

constexpr int slots_per_window = 64;
constexpr int history_parts = 8;
// What machines that were killed may have used without telling anyone.
constexpr double untold_share = 0.12;
// From here on others are told of use at once: a tenant that suddenly sends
// many times its usual uses up the rest within a second.
constexpr double pressed_share = 0.4;

double sum_for(const std::map<workspace_id, double>& sums,
               const workspace_id& tenant)
{
    const auto found = sums.find(tenant);
    return found == sums.end() ? 0.0 : found->second;
}

} // namespace

token_quota::token_quota(absl::Duration window, initial_use initial)
    : m_window(window), m_initial(initial)
{
}

void token_quota::set_limits(const std::vector<ingress_tenant>& tenants,
                             absl::Time now)
{
    absl::flat_hash_map<workspace_id, account> accounts;
    const bool is_first = m_accounts.empty();
    m_counts_since = std::min(m_counts_since, now);
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
            made = std::move(known->second);
        }
        made.limit = tenant.limit;
        made.interval_share = left(made) / m_reached;
        if (is_first)
        {
            assume_initial_use(tenant.name, made, now);
        }
        accounts[tenant.name] = std::move(made);
    }
    m_accounts = std::move(accounts);
}

void token_quota::begin_interval(std::size_t reached, std::size_t known,
                                 absl::Time now)
{
    m_reach = static_cast<double>(reached) / static_cast<double>(known);
    m_reached = static_cast<double>(reached);
    for (auto& [tenant, of] : m_accounts)
    {
        forget_old(of, now);
        of.interval_share = left(of) / m_reached;
        of.interval_use = 0;
    }
}

bool token_quota::try_take(const workspace_id& tenant, double cost,
                           absl::Time now)
{
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end())
    {
        return true;
    }
    auto& taken = found->second;
    forget_old(taken, now);
    if (used_share(taken) + cost > allowed(taken))
    {
        return false;
    }
    // One request an interval may be larger than the share.
    if (taken.interval_use > 0 &&
        taken.interval_use + cost > taken.interval_share)
    {
        return false;
    }
    taken.interval_use += cost;
    add(taken, cost, now);
    m_own_use[tenant] += cost;
    return true;
}

void token_quota::refund(const workspace_id& tenant, double cost,
                         absl::Time now)
{
    const auto found = m_accounts.find(tenant);
    if (found != m_accounts.end())
    {
        add(found->second, -cost, now);
        m_own_use[tenant] -= cost;
    }
}

void token_quota::count_peer(const workspace_id& tenant, double cost,
                             absl::Time now)
{
    if (m_accounts.empty())
    {
        m_early_use[tenant] += cost;
        return;
    }
    const auto found = m_accounts.find(tenant);
    if (found != m_accounts.end())
    {
        add(found->second, cost, now);
    }
}

bool token_quota::adopt(const use_history& history, history_source source,
                        absl::Time now)
{
    if (m_initial == initial_use::none || (m_source && *m_source >= source))
    {
        return false;
    }
    m_source = source;
    m_adopted = history;
    for (auto& [tenant, of] : m_accounts)
    {
        assume_initial_use(tenant, of, now);
    }
    return true;
}

bool token_quota::knows_history(absl::Time now) const
{
    return m_initial == initial_use::none || m_source.has_value() ||
           now - m_counts_since >= m_window;
}

absl::Duration token_quota::wait_for(const workspace_id& tenant, double cost,
                                     absl::Time now)
{
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end())
    {
        return absl::ZeroDuration();
    }
    auto& of = found->second;
    forget_old(of, now);
    auto excess = used_share(of) + cost - allowed(of);
    for (const auto& counted : of.slots)
    {
        if (excess <= 0)
        {
            break;
        }
        excess -= counted.is_history ? counted.used * m_reach : counted.used;
        if (excess <= 0)
        {
            return counted.until + m_window - now;
        }
    }
    return excess <= 0 ? absl::ZeroDuration() : m_window;
}

bool token_quota::is_pressed(const workspace_id& tenant) const
{
    const auto found = m_accounts.find(tenant);
    return found != m_accounts.end() &&
           used_share(found->second) >= allowed(found->second) * pressed_share;
}

std::map<workspace_id, token_quota::view> token_quota::pressed_views() const
{
    std::map<workspace_id, view> views;
    for (const auto& [tenant, of] : m_accounts)
    {
        if (is_pressed(tenant))
        {
            views[tenant] = {of.used, of.history_used,
                             sum_for(m_own_use, tenant), allowed(of),
                             of.interval_share};
        }
    }
    return views;
}

use_history token_quota::history(absl::Time now)
{
    use_history history;
    const auto length = m_window / history_parts;
    for (auto& [tenant, of] : m_accounts)
    {
        forget_old(of, now);
        std::vector<double> parts(history_parts, 0.0);
        for (const auto& counted : of.slots)
        {
            const auto age =
                std::max(absl::ZeroDuration(), now - counted.until);
            const auto part =
                std::min<std::int64_t>(age / length, history_parts - 1);
            parts[static_cast<std::size_t>(history_parts - 1 - part)] +=
                counted.used;
        }
        history[tenant] = std::move(parts);
    }
    return history;
}

double token_quota::whole_limit(const account& of) const
{
    const auto seconds = absl::ToDoubleSeconds(m_window);
    return of.limit.rate_per_second * seconds + of.limit.burst;
}

double token_quota::allowed(const account& of) const
{
    return whole_limit(of) * m_reach;
}

// Use before this machine's start was that of all machines: of what it left of
// the quota, as of the quota, a part of the fleet has its share.
double token_quota::used_share(const account& of) const
{
    return of.used + of.history_used * m_reach;
}

double token_quota::left(const account& of) const
{
    return std::max(0.0, allowed(of) - used_share(of));
}

void token_quota::forget_old(account& of, absl::Time now) const
{
    while (!of.slots.empty() && of.slots.front().until + m_window < now)
    {
        const auto& oldest = of.slots.front();
        (oldest.is_history ? of.history_used : of.used) -= oldest.used;
        of.slots.pop_front();
    }
    if (of.slots.empty())
    {
        of.used = 0;
        of.history_used = 0;
    }
}

void token_quota::add(account& to, double cost, absl::Time now) const
{
    const auto length = m_window / slots_per_window;
    to.used += cost;
    if (!to.slots.empty() && now < to.slots.back().until &&
        !to.slots.back().is_history)
    {
        // NOTE: a slot ends with its newest use, so none is forgotten early.
        to.slots.back().used += cost;
        return;
    }
    to.slots.push_back({now + length, cost});
}

// Counts parts of a window that ends now as used.
void token_quota::assume(account& of, const std::vector<double>& use,
                         absl::Time now) const
{
    of.slots.clear();
    of.used = 0;
    of.history_used = 0;
    const auto length = m_window / static_cast<double>(use.size());
    for (std::size_t index = 0; index < use.size(); ++index)
    {
        const auto age = length * static_cast<double>(use.size() - 1 - index);
        of.slots.push_back({now - age, use[index], true});
        of.history_used += use[index];
    }
}

// What came before this machine's start is as it was told; all that nobody has
// told of may have been used within the newer half of the window.
void token_quota::assume_initial_use(const workspace_id& tenant, account& of,
                                     absl::Time now) const
{
    if (m_initial == initial_use::none)
    {
        return;
    }
    const auto all = whole_limit(of);
    if (const auto* told = adopted_use(tenant))
    {
        auto use = *told;
        use.back() += all * untold_share;
        assume(of, use, now);
        add(of, sum_for(m_own_use, tenant) + sum_for(m_early_use, tenant), now);
        return;
    }
    // Unknown use may have come just now: none of it is forgotten soon.
    std::vector<double> use(history_parts, 0.0);
    std::fill(use.begin() + history_parts / 2, use.end(),
              all * 2 / history_parts);
    assume(of, use, now);
}

const std::vector<double>*
token_quota::adopted_use(const workspace_id& tenant) const
{
    if (!m_adopted)
    {
        return nullptr;
    }
    const auto told = m_adopted->find(tenant);
    const bool is_told = told != m_adopted->end() && !told->second.empty();
    return is_told ? &told->second : nullptr;
}

} // namespace daleshelf
