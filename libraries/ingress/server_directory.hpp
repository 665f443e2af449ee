/// @file
/// The upstreams that the platform lists, and whether they accept new requests.
#pragma once

#include "upstream_incarnation.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <rollouts/version_gate.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// One incarnation of an upstream, as the platform lists it.
struct server_entry
{
    upstream_id id;
    upstream_birth started_at; ///< Unix ms; 0: unknown
    service_name service;
    version_name version;
    std::string address; ///< IP:PORT
    hall_id hall;
    int slots = 1; ///< requests that run concurrently
    bool is_draining = false;
    bool is_spot = false;
    std::chrono::milliseconds cold_remaining{0}; ///< left of the cold start
    /// Increases with each record of an incarnation; 0: unknown.
    std::int64_t sequence = 0;

    [[nodiscard]] upstream_incarnation incarnation() const
    {
        return {id, started_at};
    }
};

/// A listed upstream with the hash of its id, by which upstreams are ranked.
struct hashed_server
{
    std::uint64_t id_hash = 0;
    const server_entry* entry = nullptr;
};

/// Effect of a record on the directory.
enum class entry_change
{
    none,      ///< nothing new, or the record is outdated
    changed,   ///< the upstream is new here, usable again, or draining
    restarted, ///< a new incarnation: all state of the earlier one is stale
};

/// The newest list of upstreams. An upstream that is listed as draining, or is
/// no longer listed, gets no new requests. Records may arrive late or out of
/// order. An incarnation that has announced that it drains never becomes usable
/// again. One that was removed without draining returns only with a record
/// whose sequence number is higher than the last one. A later incarnation of
/// the same upstream always replaces an earlier one, whatever state that was
/// in; an earlier one never replaces a later one.
class server_directory
{
public:
    server_directory() = default;
    server_directory(const server_directory&) = delete;
    server_directory& operator=(const server_directory&) = delete;

    /// Applies one record of the list.
    /// @param entry the upstream as the record describes it
    /// @return what the record changed
    entry_change set(const server_entry& entry);

    /// Makes an upstream unusable because its record was overwritten by another
    /// writer, until the upstream writes a record of its own again.
    /// @return whether the upstream was usable before
    bool withhold(const upstream_id& id);

    /// Marks an incarnation as draining because it announced so in a response,
    /// whatever the list says: a host that is cut off from the list has only
    /// responses to rely on.
    /// @return whether the upstream was usable before
    bool mark_draining(const upstream_incarnation& server);

    /// Removes an upstream that is no longer listed.
    /// @return whether it was listed
    bool remove(const upstream_id& id);

    /// Removes every upstream that is missing from a complete list.
    /// @return the removed ones
    std::vector<upstream_id>
    keep_only(const absl::flat_hash_set<upstream_id>& listed);

    /// @return the listed upstream, or null
    [[nodiscard]] const server_entry* find(const upstream_id& id) const;

    /// @return whether a later incarnation of the upstream, or one of another
    /// version, is listed by now
    [[nodiscard]] bool has_restarted(const server_entry& server) const;

    /// @return whether the upstream may get new requests
    [[nodiscard]] bool is_usable(const upstream_id& id) const;

    /// @return the service's upstreams that may get new requests, by version
    /// and sorted by id within each; only of versions that the version gate
    /// allows. Pointers to entries are valid until the entry is removed.
    [[nodiscard]] std::vector<hashed_server>
    usable(const service_name& service) const;

    /// @return number of the service's upstreams that `usable` returns
    [[nodiscard]] std::size_t usable_count(const service_name& service) const;

    /// @param share fraction of the service's requests that the version gets
    /// @return the same fraction of the version's upstreams, so that each is as
    /// busy as those of other versions; every host gets the same ones
    [[nodiscard]] std::vector<hashed_server>
    canary_servers(const service_name& service, const version_name& version,
                   double share) const;

    /// @return the upstreams of a version that may continue streams that this
    /// version has begun
    [[nodiscard]] std::vector<hashed_server>
    resumption_servers(const service_name& service,
                       const version_name& version) const;

    /// @return the versions of each service's listed upstreams, usable or not
    [[nodiscard]] std::map<service_name, std::set<version_name>>
    listed_versions() const;

    /// @return number of listed upstreams, usable or not
    [[nodiscard]] std::size_t size() const
    {
        return m_servers.size();
    }

    /// @return the gate that decides which versions may get requests
    [[nodiscard]] version_gate& versions()
    {
        return m_versions;
    }

    [[nodiscard]] const version_gate& versions() const
    {
        return m_versions;
    }

private:
    /// The last known state of an upstream that is no longer listed.
    struct removed_server
    {
        upstream_birth started_at; ///< Unix ms; 0: unknown
        bool was_draining = false;
        std::int64_t sequence = 0;
    };

    [[nodiscard]] std::optional<removed_server>
    last_known(const upstream_id& id) const;
    [[nodiscard]] bool is_outdated(const server_entry& entry,
                                   const removed_server& known) const;
    [[nodiscard]] std::vector<hashed_server>
    usable_of_version(const service_name& service,
                      const version_name& version) const;
    void count_listed(const server_entry& entry, int change);
    void add_to_index(const server_entry& entry);
    void remove_from_index(const server_entry& entry);
    void record_removal(const server_entry& entry);

    /// Usable upstreams of one service by version, sorted by id.
    using version_index = std::map<version_name, std::vector<hashed_server>>;

    absl::flat_hash_map<upstream_id, removed_server> m_removed;
    std::deque<upstream_id> m_removal_order; ///< oldest removal first
    absl::node_hash_map<upstream_id, server_entry> m_servers;
    absl::flat_hash_map<service_name, version_index> m_index;
    /// Number of listed upstreams, usable or not.
    std::map<service_name, std::map<version_name, int>> m_listed_counts;
    /// Upstreams whose record another writer has overwritten.
    absl::flat_hash_set<upstream_id> m_withheld;
    version_gate m_versions;
};

} // namespace daleshelf
