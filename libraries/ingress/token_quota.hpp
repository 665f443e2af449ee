/// @file
/// Quotas that all machines share.
#pragma once

#include "ingress_configuration.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// A token bucket a tenant, of which every machine keeps a copy: what peers
/// have used is taken off as they tell it, so a copy may fall below zero and
/// then refuses until the debt is paid. A machine that cannot reach all others
/// fills its copy by the share of machines that it does reach, so that parts
/// of a cut fleet together stay within the limit. See docs/design/platform.md.
class token_quota
{
public:
    /// How full a bucket is that nothing is known of.
    enum class initial_level
    {
        full,  ///< the whole system starts for the first time
        empty, ///< this machine may have used it up in an earlier life
    };

    explicit token_quota(initial_level initial);

    /// Takes the limits of a new configuration.
    void set_limits(const std::vector<ingress_tenant>& tenants, absl::Time now);

    /// @param share of all machines that this one reaches, itself included
    void set_reach(double share, absl::Time now);

    /// @param cost in the tenant's unit
    /// @return whether the request is within the quota; it is counted then
    [[nodiscard]] bool try_take(const workspace_id& tenant, double cost,
                                absl::Time now);

    /// Gives back what a request took that has not run.
    void refund(const workspace_id& tenant, double cost);

    /// Counts what another machine has used.
    void count_peer(const workspace_id& tenant, double cost);

    /// @return time until the bucket can pay `cost`
    [[nodiscard]] absl::Duration wait_for(const workspace_id& tenant,
                                          double cost) const;

    /// @return what this machine has used in its life, by tenant
    [[nodiscard]] const std::map<workspace_id, double>& own_use() const
    {
        return m_own_use;
    }

private:
    struct bucket
    {
        tenant_limit limit;
        double level = 0;
        absl::Time filled_at;
    };

    void fill(bucket& filled, absl::Time now) const;

    initial_level m_initial;
    double m_reach = 1;
    absl::flat_hash_map<workspace_id, bucket> m_buckets;
    std::map<workspace_id, double> m_own_use;
};

} // namespace daleshelf
