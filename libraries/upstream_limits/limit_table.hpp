/// @file
/// The limits that upstreams advertise.
#pragma once

#include "limit_record.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace daleshelf
{

/// Keeps the newest record of each upstream: of its latest incarnation, the one
/// advertised last. Merging is commutative and idempotent: records may arrive
/// in any order and any number of times. Does no I/O. See
/// docs/design/upstream-limits.md.
class limit_table
{
public:
    /// What a response to this host says about the upstream's limit.
    struct upstream_response
    {
        upstream_incarnation server;
        /// Requests per second; nothing if the response advertises no limit.
        std::optional<double> per_second;
        absl::Time sent_at; ///< when the request was sent, monotonic
    };

    /// Records a response of an upstream. A response without a limit ends the
    /// known limit, unless its request was sent before that limit was known to
    /// this host: the response may then be older than the one that advertised
    /// it.
    /// @param now monotonic time
    /// @param time_of_day time of day that the fleet agrees on
    /// @return whether the record of the upstream has changed
    bool record_response(const upstream_response& observed, absl::Time now,
                         absl::Time time_of_day);

    /// Merges a record of another host.
    /// @param now monotonic time
    /// @return whether the record of the upstream has changed
    bool merge(const limit_record& peer_record, absl::Time now);

    /// @return the limit in requests per second, if there is one
    [[nodiscard]] std::optional<double>
    limit_of(const upstream_id& server) const;

    /// @return the record of an upstream, or null
    [[nodiscard]] const limit_record* find(const upstream_id& server) const;

    /// @return the number of upstreams that have a limit
    [[nodiscard]] std::size_t limited_count() const;

    /// Removes and returns changed records that are not yet gossiped, at most
    /// `max_count`.
    [[nodiscard]] std::vector<limit_update> take_updates(std::size_t max_count);

    [[nodiscard]] bool has_updates() const
    {
        return !m_updates.empty();
    }

    /// @return up to `max_count` records to repeat to a peer; successive calls
    /// cycle through all records
    [[nodiscard]] std::vector<limit_record>
    next_to_repeat(std::size_t max_count);

    /// @return up to `max_count` of the newest limits, for a host that has just
    /// started
    [[nodiscard]] std::vector<limit_record> newest(std::size_t max_count) const;

    /// Drops records of upstreams that are gone, and of limits that ended more
    /// than a minute ago.
    /// @return the upstreams whose records were dropped
    std::vector<upstream_id>
    evict(const std::function<bool(const upstream_incarnation&)>& is_gone,
          absl::Time now);

private:
    struct entry
    {
        limit_record record;
        absl::Time learned_at; ///< monotonic
    };

    bool replace(const limit_record& record, limit_origin origin,
                 absl::Time now);

    absl::btree_map<upstream_id, entry> m_entries;
    std::vector<limit_update> m_updates;
    upstream_id m_last_repeated;
};

} // namespace daleshelf
