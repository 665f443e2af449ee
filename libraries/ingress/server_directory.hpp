/// @file
/// The servers that the platform lists, and whether they may get new work.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <deque>
#include <rollouts/version_gate.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// One start of one server, as it is listed.
struct server_entry
{
    upstream_id id;
    service_name service;
    version_name version;
    std::string address; ///< IP:PORT
    hall_id hall;
    int slots = 1;
    bool is_draining = false;
    bool is_spot = false;
    std::chrono::milliseconds cold_remaining{0};
    std::int64_t sequence = 0; ///< grows with each record of it; 0: unknown
};

/// The newest list of servers. A server that is listed as draining, or no
/// longer listed, gets no new work. Records may come late: one that has said
/// that it leaves never comes back, and one that was removed without a word
/// comes back only by a record that is newer than its last.
class server_directory
{
public:
    /// Takes one record of the list.
    /// @param entry the server, as it is now
    /// @return whether anything has changed
    bool set(const server_entry& entry);

    /// @param id a server that is no longer listed
    /// @return whether it was listed
    bool remove(const upstream_id& id);

    /// Removes every server that a whole list lacks.
    /// @return those that were removed
    std::vector<upstream_id>
    keep_only(const absl::flat_hash_set<upstream_id>& listed);

    /// Notes that the server itself, or a peer, has said that it leaves.
    /// @return whether that is news
    bool mark_leaving(const upstream_id& id);

    /// @return servers that have said by themselves that they leave
    [[nodiscard]] std::vector<upstream_id> leaving() const;

    /// @return the server, or null
    [[nodiscard]] const server_entry* find(const upstream_id& id) const;

    /// @return whether new work may go to the server
    [[nodiscard]] bool is_usable(const upstream_id& id) const;

    /// @return all servers of a service that may get new work, of versions
    /// that may
    [[nodiscard]] std::vector<const server_entry*>
    usable(const service_name& service) const;

    /// @param share of the service's requests, that the version gets
    /// @return so large a part of the version's servers, the same ones at each
    /// host, that each of them is as busy as those of other versions
    [[nodiscard]] std::vector<const server_entry*>
    trial_servers(const service_name& service, const version_name& version,
                  double share) const;

    /// @return every listed server
    [[nodiscard]] std::vector<const server_entry*> all() const;

    /// @return which versions may get work
    [[nodiscard]] version_gate& versions()
    {
        return m_versions;
    }

    [[nodiscard]] const version_gate& versions() const
    {
        return m_versions;
    }

private:
    /// What is remembered of a server that is no longer listed.
    struct departure
    {
        bool was_leaving = false;
        std::int64_t sequence = 0;
    };

    [[nodiscard]] bool is_outdated(const server_entry& entry) const;
    template <typename Wanted>
    [[nodiscard]] std::vector<const server_entry*>
    sorted_servers(Wanted is_wanted) const;
    void remember(const server_entry& entry);

    absl::flat_hash_map<upstream_id, departure> m_departed;
    std::deque<upstream_id> m_departed_order; ///< the oldest first
    absl::flat_hash_map<upstream_id, server_entry> m_servers;
    absl::flat_hash_map<upstream_id, bool> m_leaving;
    version_gate m_versions;
};

} // namespace daleshelf
