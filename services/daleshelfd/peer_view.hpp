/// @file
/// The other entry hosts, as traffic needs them.
#pragma once

#include <base/identifiers.hpp>
#include <map>
#include <membership/member.hpp>
#include <set>

namespace daleshelf
{

/// Immutable view of the fleet.
struct peer_view
{
    std::map<host_id, member> members; ///< without this host
    std::set<host_id> leaving; ///< hosts of the platform that are leaving

    /// @return whether the host is alive or only suspected
    [[nodiscard]] bool is_reachable(const host_id& host) const
    {
        const auto found = members.find(host);
        return found != members.end() &&
               (found->second.state == member_state::alive ||
                found->second.state == member_state::suspect);
    }
};

} // namespace daleshelf
