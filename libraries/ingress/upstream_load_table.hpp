/// @file
/// Loads of upstreams, by this host and by its peers.
#pragma once

#include "server_load.hpp"

#include <absl/time/time.h>

namespace daleshelf
{

/// Holds the load that this host has put on each upstream, and what is known of
/// the load by other hosts: gossiped states, or a newer table that the hosts of
/// a hall share. Does no I/O.
class upstream_load_table
{
public:
    /// @return this host's load of the upstream, to be changed by its attempts
    [[nodiscard]] server_load& own(const upstream_id& server)
    {
        return m_own[server];
    }

    /// @return this host's load of the upstream
    [[nodiscard]] server_load own_load(const upstream_id& server) const;

    /// @return this host's load of all upstreams
    [[nodiscard]] const server_loads& own_loads() const
    {
        return m_own;
    }

    /// @return load of all other hosts at an upstream, as far as known
    [[nodiscard]] server_load others_load(const upstream_id& server) const;

    /// Replaces the loads that a peer gossips.
    void set_peer_loads(const host_id& peer, server_loads loads);

    /// Discards the loads of a peer that has left.
    void drop_peer(const host_id& peer);

    /// Replaces the shared table of the loads of all other hosts. Its entries
    /// take precedence over gossiped loads until it expires.
    /// @param expires_at time after which gossiped loads are newer
    void set_shared_loads(server_loads loads, absl::Time expires_at);

    /// Discards the shared table once it has expired.
    void run_maintenance(absl::Time now);

    /// @return whether a shared table is in use
    [[nodiscard]] bool has_shared_loads() const
    {
        return m_shared_until != absl::InfinitePast();
    }

    /// Discards this host's load of an upstream that has restarted.
    void reset(const upstream_id& server);

    /// Discards this host's entries of upstreams without requests in flight.
    /// @param is_unlisted whether an upstream is no longer listed
    template <typename Predicate>
    void drop_idle(Predicate is_unlisted)
    {
        absl::erase_if(
            m_own, [&](const auto& entry)
            { return entry.second.active == 0 && is_unlisted(entry.first); });
    }

private:
    void add_to_sums(const server_loads& loads, int sign);

    server_loads m_own;
    absl::flat_hash_map<host_id, server_loads> m_by_peer;
    server_loads m_peer_sums;
    server_loads m_shared;
    absl::Time m_shared_until = absl::InfinitePast();
};

} // namespace daleshelf
