/// @file
/// The limits that upstreams have named.
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

/// Keeps the newest record of each upstream: that of its latest incarnation,
/// and of that the one named last. Records merge in any order and any number
/// of times to the same result. Free of I/O. See
/// docs/design/upstream-limits.md.
class limit_table
{
public:
    /// What an answer to this host says.
    struct answer
    {
        upstream_incarnation server;
        /// Nothing: the answer names no limit.
        std::optional<double> per_second;
        absl::Time sent_at; ///< when its request was sent, monotonic
    };

    /// Notes an answer of an upstream. One that names no limit ends the known
    /// one, unless its request was sent before that was known here: it may
    /// then be the older answer.
    /// @param now of the monotonic clock
    /// @param time_of_day as the fleet agrees on it
    /// @return whether the record of the upstream has changed
    bool record_answer(const answer& seen, absl::Time now,
                       absl::Time time_of_day);

    /// Merges a record of another host.
    /// @param now of the monotonic clock
    /// @return whether the record of the upstream has changed
    bool merge(const limit_record& told, absl::Time now);

    /// @return the limit in requests a second, if there is one
    [[nodiscard]] std::optional<double>
    limit_of(const upstream_id& server) const;

    /// @return the record of an upstream, or null
    [[nodiscard]] const limit_record* find(const upstream_id& server) const;

    /// @return how many upstreams have a limit
    [[nodiscard]] std::size_t limited() const;

    /// Takes changed records that peers have not been sent.
    [[nodiscard]] std::vector<limit_update> take_updates(std::size_t most);

    [[nodiscard]] bool has_updates() const
    {
        return !m_updates.empty();
    }

    /// @return records to repeat to a peer, others at each call
    [[nodiscard]] std::vector<limit_record> next_in_turn(std::size_t most);

    /// @return the newest records, for a host that has just started
    [[nodiscard]] std::vector<limit_record> newest(std::size_t most) const;

    /// Drops records of upstreams that are gone, and of limits that ended long
    /// ago.
    /// @return the upstreams whose limit is forgotten
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
