/// @file
/// The servers that the platform lists, and whether they may get new work.
#pragma once

#include "upstream_life.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <rollouts/version_gate.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// One life of a server, as it is listed.
struct server_entry
{
    upstream_id id;
    upstream_birth born;
    service_name service;
    version_name version;
    std::string address; ///< IP:PORT
    hall_id hall;
    int slots = 1;
    bool is_draining = false;
    bool is_spot = false;
    std::chrono::milliseconds cold_remaining{0};
    std::int64_t sequence = 0; ///< grows with each record of a life; 0: unknown

    [[nodiscard]] upstream_life life() const
    {
        return {id, born};
    }
};

/// What a record has changed.
enum class entry_change
{
    none,     ///< nothing, or the record is of an earlier time
    changed,  ///< the server is new here, or has begun to leave
    new_life, ///< the server has started again: what was known of it is void
};

/// The newest list of servers. A server that is listed as draining, or no
/// longer listed, gets no new work. Records may come late: a life that has said
/// that it leaves never comes back, and one that was removed without a word
/// comes back only by a record that is newer than its last. A later life of the
/// same server takes its place, whatever became of the earlier ones; an earlier
/// one never does.
class server_directory
{
public:
    /// Takes one record of the list.
    /// @param entry the server, as it is now
    /// @return what has changed
    entry_change set(const server_entry& entry);

    /// Takes a record that is not the server's own: it names no server to use,
    /// until the server has written its own again.
    /// @return whether the server was usable
    bool withhold(const upstream_id& id);

    /// Notes that a life has itself said that it leaves, whatever is listed: a
    /// host that hears nothing of the list has only answers to go by.
    /// @return whether the server was usable
    bool note_leaving(const upstream_life& server);

    /// @param id a server that is no longer listed
    /// @return whether it was listed
    bool remove(const upstream_id& id);

    /// Removes every server that a whole list lacks.
    /// @return those that were removed
    std::vector<upstream_id>
    keep_only(const absl::flat_hash_set<upstream_id>& listed);

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
        upstream_birth born;
        bool was_leaving = false;
        std::int64_t sequence = 0;
    };

    [[nodiscard]] std::optional<departure>
    last_known(const upstream_id& id) const;
    [[nodiscard]] bool is_outdated(const server_entry& entry,
                                   const departure& known) const;
    template <typename Wanted>
    [[nodiscard]] std::vector<const server_entry*>
    sorted_servers(Wanted is_wanted) const;
    void remember(const server_entry& entry);

    absl::flat_hash_map<upstream_id, departure> m_departed;
    std::deque<upstream_id> m_departed_order; ///< the oldest first
    absl::flat_hash_map<upstream_id, server_entry> m_servers;
    absl::flat_hash_set<upstream_id> m_withheld; ///< listed by another writer
    version_gate m_versions;
};

} // namespace daleshelf
