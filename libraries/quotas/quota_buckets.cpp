#include "quota_buckets.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

// A host whose last deposit is older than this deposits to another keeper, or
// to none. Equals four intervals between deposits.
constexpr absl::Duration deposit_lifetime = absl::Seconds(2);
// This many seconds' worth of the bound are not granted, since deposits count
// on arrival: they contain credit accrued within up to 0.6 s and take up to 0.4
// s to arrive. With 0.75 s, one of 7,000 simulated fleets exceeded the bound by
// 1.2 %, with datagrams in flight for up to 0.5 s.
constexpr double delay_margin_seconds = 1;
// The minimum capacity of a bucket in seconds of refill; longer than the
// interval between deposits.
constexpr double min_capacity_seconds = 0.6;
// The maximum credit of one deposit, in seconds; hosts keep credit that they
// cannot deposit for the same time.
constexpr double max_deposit_seconds = 0.6;
// This fraction of the capacity is available as overdraft instead, so that
// large requests of a workspace at its limit are granted as often as small
// ones.
constexpr double overdraft_fraction = 0.3;
// The minimum rate for an upstream, in requests per second: one request in five
// seconds stays within the slack of a limit of 0.
constexpr double min_upstream_rate = 0.2;

} // namespace

quota_buckets::quota_buckets(const quota_options& options) : m_options(options)
{
}

void quota_buckets::set_limits(const std::vector<ingress_tenant>& workspaces)
{
    absl::flat_hash_set<workspace_id> limited;
    for (const auto& workspace : workspaces)
    {
        if (workspace.limit.rate_per_second <= 0)
        {
            continue;
        }
        limited.insert(workspace.name);
        auto& bucket = m_buckets[workspace.name];
        bucket.limit = workspace.limit;
        bucket.bound = m_options;
    }
    absl::erase_if(m_buckets,
                   [&](const auto& entry)
                   {
                       const auto& subject = entry.first;
                       return !subject.is_upstream() &&
                              !limited.contains(subject.workspace);
                   });
}

void quota_buckets::set_upstream_limit(const upstream_id& upstream,
                                       double per_second)
{
    auto& bucket = m_buckets[upstream];
    bucket.limit = {std::max(per_second, min_upstream_rate), 0};
    bucket.bound = upstream_bound;
}

void quota_buckets::remove_limit(const upstream_id& upstream)
{
    m_buckets.erase(upstream);
}

void quota_buckets::deposit(const deposit_report& report, absl::Time now)
{
    auto& source = m_depositors[report.host];
    if (report.host_incarnation < source.host_incarnation)
    {
        return;
    }
    if (source.host_incarnation < report.host_incarnation)
    {
        source = {report.host_incarnation, 0, 0, absl::InfinitePast()};
    }
    if (report.total_credit < source.total_credit)
    {
        return;
    }
    // Credit of deposits that were lost for longer has expired.
    const auto added = report.is_late
                           ? 0.0
                           : std::min(report.total_credit - source.total_credit,
                                      report.share * max_deposit_seconds);
    source.total_credit = report.total_credit;
    source.share = report.share;
    source.deposited_at = now;
    const auto total_weight = weight(now);
    for (auto& [subject, bucket] : m_buckets)
    {
        bucket.current.balance = std::min(
            capacity_of(bucket, total_weight) * (1 - overdraft_fraction),
            bucket.current.balance + added * refill_rate(bucket));
    }
}

double quota_buckets::take(const quota_subject& subject, double requested,
                           absl::Time now)
{
    const auto found = m_buckets.find(subject);
    if (found == m_buckets.end())
    {
        return 0;
    }
    auto& bucket = found->second;
    const auto capacity = capacity_of(bucket, weight(now));
    const auto overdraft = capacity * overdraft_fraction;
    bucket.current.balance =
        std::min(bucket.current.balance, capacity - overdraft);
    auto granted =
        bucket.current.balance <= 0
            ? 0.0
            : std::min(requested, bucket.current.balance + overdraft);
    if (subject.is_upstream() && granted < std::min(requested, capacity))
    {
        granted = 0;
    }
    bucket.current.balance -= granted;
    bucket.current.granted += granted;
    bucket.current.rejected += requested - granted;
    return granted;
}

void quota_buckets::release(const quota_subject& subject, double amount,
                            absl::Time now)
{
    const auto found = m_buckets.find(subject);
    if (found != m_buckets.end())
    {
        auto& bucket = found->second;
        bucket.current.balance = std::min(capacity_of(bucket, weight(now)) *
                                              (1 - overdraft_fraction),
                                          bucket.current.balance + amount);
    }
}

double quota_buckets::rate_of(const quota_subject& subject) const
{
    const auto found = m_buckets.find(subject);
    return found == m_buckets.end() ? 0.0 : found->second.limit.rate_per_second;
}

double quota_buckets::weight(absl::Time now) const
{
    double sum = 0;
    for (const auto& [host, source] : m_depositors)
    {
        sum +=
            now - source.deposited_at <= deposit_lifetime ? source.share : 0.0;
    }
    return sum;
}

std::map<workspace_id, quota_buckets::state> quota_buckets::states() const
{
    std::map<workspace_id, state> states;
    for (const auto& [subject, bucket] : m_buckets)
    {
        if (!subject.is_upstream())
        {
            states[subject.workspace] = bucket.current;
        }
    }
    return states;
}

// The rate of the limit, unless that leaves too little of the bound for the
// capacity of the buckets.
double quota_buckets::refill_rate(const token_bucket& bucket)
{
    const auto window = absl::ToDoubleSeconds(bucket.bound.window);
    return std::min(window_limit(bucket) / window,
                    window_bound(bucket) /
                        (window + delay_margin_seconds + min_capacity_seconds));
}

double quota_buckets::capacity_of(const token_bucket& bucket, double weight)
{
    const auto window = absl::ToDoubleSeconds(bucket.bound.window);
    const auto refilled = refill_rate(bucket) * (window + delay_margin_seconds);
    return (window_bound(bucket) - refilled) * weight;
}

double quota_buckets::window_limit(const token_bucket& bucket)
{
    return bucket.limit.rate_per_second *
               absl::ToDoubleSeconds(bucket.bound.window) +
           bucket.limit.burst;
}

double quota_buckets::window_bound(const token_bucket& bucket)
{
    return window_limit(bucket) * (1 + bucket.bound.overshoot) +
           bucket.bound.slack;
}

} // namespace daleshelf
