/// @file
/// What a keeper holds of each workspace's quota.
#pragma once

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

    /// Takes the limits of a new configuration.
    void set_limits(const std::vector<ingress_tenant>& workspaces);

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

    /// @param wanted in the workspace's unit
    /// @return what is granted of it
    [[nodiscard]] double take(const workspace_id& workspace, double wanted,
                              absl::Time now);

    /// Puts back what was granted and not used.
    void give_back(const workspace_id& workspace, double amount,
                   absl::Time now);

    /// @return whether the workspace has a limit
    [[nodiscard]] bool is_limited(const workspace_id& workspace) const
    {
        return m_accounts.contains(workspace);
    }

    /// @return tokens or requests that the workspace may have a second
    [[nodiscard]] double rate_of(const workspace_id& workspace) const;

    /// @return the part of the fleet that gives to this keeper
    [[nodiscard]] double weight(absl::Time now) const;

    /// What is left of a workspace's pool, and how it went.
    struct state
    {
        double balance = 0; ///< negative if overdrawn
        double granted = 0; ///< since this start
        double refused = 0; ///< since this start
    };

    [[nodiscard]] std::map<workspace_id, state> states() const;

private:
    struct account
    {
        tenant_limit limit;
        state pool;
    };

    struct depositor
    {
        incarnation started;
        double given = 0;
        double share = 0;
        absl::Time heard_at = absl::InfinitePast();
    };

    [[nodiscard]] double limit_of_window(const account& of) const;
    [[nodiscard]] double bound_of_window(const account& of) const;
    [[nodiscard]] double earned_a_second(const account& of) const;
    [[nodiscard]] double held(const account& of, double weight) const;

    quota_options m_options;
    absl::flat_hash_map<workspace_id, account> m_accounts;
    std::map<host_id, depositor> m_depositors;
};

} // namespace daleshelf
