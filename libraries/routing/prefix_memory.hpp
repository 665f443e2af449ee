/// @file
/// Where this entry host has sent prefixes lately.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <list>
#include <utility>

namespace daleshelf
{

/// Bounded memory of pairs of a prefix and an upstream; the oldest go first.
class prefix_memory
{
public:
    /// @param capacity pairs kept at most
    /// @param life how long a pair counts
    prefix_memory(std::size_t capacity, absl::Duration life);

    /// The prefix has been sent to the upstream.
    void add(std::uint64_t prefix, const upstream_id& upstream, absl::Time now);

    /// @return whether the upstream is likely to have the prefix cached
    [[nodiscard]] bool is_warm(std::uint64_t prefix,
                               const upstream_id& upstream,
                               absl::Time now) const;

private:
    using key = std::pair<std::uint64_t, upstream_id>;

    struct entry
    {
        absl::Time time;
        std::list<key>::iterator place;
    };

    std::size_t m_capacity;
    absl::Duration m_life;
    mutable absl::Mutex m_mutex;
    std::list<key> m_by_age ABSL_GUARDED_BY(m_mutex); ///< the oldest first
    absl::flat_hash_map<key, entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf
