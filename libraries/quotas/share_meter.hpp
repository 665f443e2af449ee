/// @file
/// A host's share of the fleet's time, and which keepers have had it.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// Counts a host's share of the time that passes: one of N hosts earns
/// 1/N second of the whole fleet a second. Each part is given to one keeper
/// once, so that all keepers together get no more than the time that passed. A
/// process that starts again begins at nothing. See docs/design/quotas.md.
class share_meter
{
public:
    /// Sets the share from now on.
    /// @param share of the fleet, 0 to 1
    void set_share(double share, absl::Time now);

    [[nodiscard]] double share() const
    {
        return m_share;
    }

    /// Gives a keeper all that was earned and not yet given.
    /// @param started the keeper's start; another one begins a new sum
    /// @return all that this start of the keeper was given, in seconds
    double give(const host_id& keeper, incarnation started, absl::Time now);

private:
    struct account
    {
        incarnation started;
        double given = 0;
    };

    void earn(absl::Time now);

    double m_share = 0;
    double m_earned = 0;
    absl::Time m_earned_at = absl::InfinitePast();
    std::map<host_id, account> m_accounts;
};

} // namespace daleshelf
