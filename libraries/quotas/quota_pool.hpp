/// @file
/// What a keeper holds of each workspace's quota, and of each upstream's limit.
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

/// The bound that all hosts keep to together.
struct quota_options
{
    absl::Duration window = absl::Seconds(8);
    /// Use beyond a workspace's limit that is borne, as a share of it.
    double overshoot = 0.1;
    /// Use beyond a workspace's limit that is borne besides, in its unit.
    double slack = 0;
};

/// The bound on requests to an upstream that has named a limit. It is tighter
/// than the platform's rule (half as much again and 5 requests), since a
/// request may arrive later than it was granted.
inline constexpr quota_options upstream_bound{absl::Seconds(4), 0.4, 4};

/// A keeper's pools, one for each workspace. The time that hosts give to the
/// keeper fills them at the rate that a window's limit comes to, and they hold
/// no more than the keeper's part of what is borne beyond the limit. So within
/// any window all keepers together grant no more than the limit for the time
/// that passes and what they held before it, however often they are killed: one
/// that starts again holds nothing. While a pool is not empty, a larger request
/// may overdraw it by a little.
class quota_pool
{
public:
    explicit quota_pool(const quota_options& options);

    /// Takes the limits of a new configuration. Those of upstreams stay.
    void set_limits(const std::vector<ingress_tenant>& workspaces);

    /// Sets the requests a second that an upstream takes from the whole fleet.
    /// Of an upstream that was not limited nothing is granted at first.
    /// @param per_second raised to a least rate: without any request nobody
    /// would see the limit end
    void limit_upstream(const upstream_id& upstream, double per_second);

    /// Ends the limit of an upstream.
    void lift_limit(const upstream_id& upstream);

    /// What a host gives.
    struct deposit_report
    {
        host_id host;
        incarnation started; ///< of the host
        double share = 0;
        double given = 0;     ///< all that this start of it gave, in seconds
        bool is_late = false; ///< too old to be used now
    };

    /// Takes what a host gives; one that comes again counts for what is new
    /// in it, one that is late for nothing, then or later.
    void deposit(const deposit_report& report, absl::Time now);

    /// Grants a workspace as much of what is wanted as there is. Grants an
    /// upstream all of it, or all that the pool can hold, or nothing: fractions
    /// of a request that several hosts hold cannot be used.
    /// @param wanted in the subject's unit
    /// @return what is granted of it
    [[nodiscard]] double take(const quota_subject& subject, double wanted,
                              absl::Time now);

    /// Puts back what was granted and not used.
    void give_back(const quota_subject& subject, double amount, absl::Time now);

    /// @return whether the subject has a limit
    [[nodiscard]] bool is_limited(const quota_subject& subject) const
    {
        return m_accounts.contains(subject);
    }

    /// @return tokens or requests that the subject may have a second
    [[nodiscard]] double rate_of(const quota_subject& subject) const;

    /// @return the part of the fleet that gives to this keeper
    [[nodiscard]] double weight(absl::Time now) const;

    /// What is left of a workspace's pool, and how it went.
    struct state
    {
        double balance = 0; ///< negative if overdrawn
        double granted = 0; ///< since this start
        double refused = 0; ///< since this start
    };

    /// @return the pools of workspaces
    [[nodiscard]] std::map<workspace_id, state> states() const;

private:
    struct account
    {
        tenant_limit limit;
        quota_options bound;
        state pool;
    };

    struct depositor
    {
        incarnation started;
        double given = 0;
        double share = 0;
        absl::Time heard_at = absl::InfinitePast();
    };

    [[nodiscard]] static double limit_of_window(const account& of);
    [[nodiscard]] static double bound_of_window(const account& of);
    [[nodiscard]] static double earned_a_second(const account& of);
    [[nodiscard]] static double held(const account& of, double weight);

    quota_options m_options;
    absl::flat_hash_map<quota_subject, account> m_accounts;
    std::map<host_id, depositor> m_depositors;
};

} // namespace daleshelf
