/// @file
/// Request counts of all hosts, merged by taking the maximum.
#pragma once

#include <base/usage_counts.hpp>

namespace daleshelf
{

/// One incarnation of one host. Its counts only grow.
struct host_incarnation
{
    host_id host;
    incarnation started;

    friend auto operator<=>(const host_incarnation&,
                            const host_incarnation&) = default;
};

/// A grow-only counter (G-counter) with one entry per host incarnation. Merging
/// takes the maximum of two counts, so it is commutative and idempotent. The
/// counts of a crashed host stay known as long as one running host has received
/// them.
class count_table
{
public:
    /// Merges counts of an incarnation, reported by itself or by another host.
    void merge(const host_incarnation& origin, const counts_by_window& counts);

    /// Drops windows before `oldest`.
    void evict_before(std::int64_t oldest);

    /// @return requests started within a window on all hosts, by workspace
    [[nodiscard]] tenant_counts sum(std::int64_t window) const;

    /// @return the newest window in which any host has counted
    [[nodiscard]] std::int64_t newest_window() const
    {
        return m_newest;
    }

    [[nodiscard]] const std::map<host_incarnation, counts_by_window>&
    entries() const
    {
        return m_entries;
    }

private:
    std::map<host_incarnation, counts_by_window> m_entries;
    std::int64_t m_newest = 0;
};

} // namespace daleshelf
