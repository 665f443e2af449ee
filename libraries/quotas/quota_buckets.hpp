/// @file
/// The token buckets that a keeper holds for workspaces and upstreams.
#pragma once

#include "quota_subject.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <ingress/ingress_configuration.hpp>
#include <map>
#include <vector>

namespace daleshelf
{

/// The bound that all hosts together keep.
struct quota_options
{
    absl::Duration window = absl::Seconds(8);
    /// Tolerated use beyond a workspace's limit, as a fraction of the limit.
    double overshoot = 0.1;
    /// Further tolerated use beyond a workspace's limit, in the unit of the
    /// limit.
    double slack = 0;
};

/// The bound on requests to an upstream that advertises a limit. It is stricter
/// than the platform's rule (1.5 times the limit plus 5 requests), since a
/// request may arrive later than it was granted.
inline constexpr quota_options upstream_bound{absl::Seconds(4), 0.4, 4};

/// A keeper's token buckets, one for each workspace with a quota and each
/// upstream with a limit. The time credit that hosts deposit refills them at
/// the rate of the limit. Their capacity is the keeper's part of the tolerated
/// excess over the limit. So all keepers together grant no more within a window
/// than the limit for the time that passes and what the buckets held before it,
/// no matter how often keepers crash: a new incarnation starts with empty
/// buckets. A bucket that is not empty may be overdrawn by a bounded amount for
/// a larger request.
class quota_buckets
{
public:
    explicit quota_buckets(const quota_options& options);

    /// Replaces the limits of workspaces by those of a new configuration.
    /// Limits of upstreams are kept.
    void set_limits(const std::vector<ingress_tenant>& workspaces);

    /// Sets the request rate that an upstream accepts from the whole fleet. The
    /// bucket of an upstream that had no limit starts empty.
    /// @param per_second requests per second, raised to a minimum rate: without
    /// any request the fleet could not notice that the limit has ended
    void set_upstream_limit(const upstream_id& upstream, double per_second);

    /// Removes the limit of an upstream.
    void remove_limit(const upstream_id& upstream);

    /// A host's deposit of time credit.
    struct deposit_report
    {
        host_id host;
        incarnation host_incarnation;
        double share = 0;
        /// Total credit deposited by this incarnation of the host, in seconds.
        double total_credit = 0;
        bool is_late = false; ///< too old to be credited
    };

    /// Credits a deposit. Totals are cumulative: a repeated deposit counts only
    /// for what is new in it. The credit of a late deposit is dropped for good.
    void deposit(const deposit_report& report, absl::Time now);

    /// Takes tokens from a bucket. A workspace is granted as much of the
    /// requested amount as there is. An upstream is granted all of it, or all
    /// that its bucket can hold, or nothing: fractions of a request that
    /// several hosts hold cannot be used.
    /// @param requested in the subject's unit
    /// @return the granted amount
    [[nodiscard]] double take(const quota_subject& subject, double requested,
                              absl::Time now);

    /// Returns granted tokens that were not used.
    void release(const quota_subject& subject, double amount, absl::Time now);

    /// @return whether the subject has a limit
    [[nodiscard]] bool is_limited(const quota_subject& subject) const
    {
        return m_buckets.contains(subject);
    }

    /// @return the limit of the subject in tokens or requests per second
    [[nodiscard]] double rate_of(const quota_subject& subject) const;

    /// @return the sum of the shares of the fleet that deposit to this keeper
    [[nodiscard]] double weight(absl::Time now) const;

    /// The balance of a workspace's bucket, and totals of its use.
    struct state
    {
        double balance = 0;  ///< negative if overdrawn
        double granted = 0;  ///< since the start of this process
        double rejected = 0; ///< since the start of this process
    };

    /// @return the states of the workspaces' buckets
    [[nodiscard]] std::map<workspace_id, state> states() const;

private:
    struct token_bucket
    {
        tenant_limit limit;
        quota_options bound;
        state current;
    };

    struct depositor
    {
        incarnation host_incarnation;
        double total_credit = 0;
        double share = 0;
        absl::Time deposited_at = absl::InfinitePast();
    };

    [[nodiscard]] static double window_limit(const token_bucket& bucket);
    [[nodiscard]] static double window_bound(const token_bucket& bucket);
    [[nodiscard]] static double refill_rate(const token_bucket& bucket);
    [[nodiscard]] static double capacity_of(const token_bucket& bucket,
                                            double weight);

    quota_options m_options;
    absl::flat_hash_map<quota_subject, token_bucket> m_buckets;
    std::map<host_id, depositor> m_depositors;
};

} // namespace daleshelf
