/// @file
/// The time credit that a host accrues and allocates to keepers.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// Accrues time credit for a host's share of the fleet: each of N hosts accrues
/// 1/N second of the whole fleet per second. Each part is allocated to one
/// keeper once, so all keepers together get no more credit than time has
/// passed. A new incarnation starts without credit. See docs/design/quotas.md.
class credit_accumulator
{
public:
    /// Sets the share of the fleet at which credit accrues from now on.
    /// @param share of the fleet, from 0 to 1
    void set_share(double share, absl::Time now);

    [[nodiscard]] double share() const
    {
        return m_share;
    }

    /// Allocates all unallocated credit to a keeper.
    /// @param keeper_incarnation of the keeper; a new incarnation starts a new
    /// total
    /// @return the total credit allocated to this incarnation of the keeper, in
    /// seconds
    double allocate(const host_id& keeper, incarnation keeper_incarnation,
                    absl::Time now);

private:
    struct allocation
    {
        incarnation keeper_incarnation;
        double total = 0;
    };

    void accrue(absl::Time now);

    double m_share = 0;
    double m_unallocated = 0;
    absl::Time m_accrued_at = absl::InfinitePast();
    std::map<host_id, allocation> m_allocations;
};

} // namespace daleshelf
