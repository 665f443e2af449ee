/// @file
/// Counts of all machines' starts, merged by the greatest.
#pragma once

#include <base/usage_counts.hpp>

namespace daleshelf
{

/// One start of one machine: its counts only grow.
struct counting_start
{
    host_id machine;
    incarnation started;

    friend auto operator<=>(const counting_start&,
                            const counting_start&) = default;
};

/// A grow-only counter a start of each machine. Merging takes the greater of
/// two counts, so it may be done in any order and any number of times; what a
/// machine counted before it was killed is known while one machine lives that
/// has heard of it.
class count_table
{
public:
    /// Takes what a start has counted, as told by itself or by another.
    void merge(const counting_start& start, const counts_by_window& counts);

    /// Drops windows before `oldest`.
    void forget_before(std::int64_t oldest);

    /// @return requests begun within a window at all machines, by tenant
    [[nodiscard]] tenant_counts sum(std::int64_t window) const;

    /// @return the newest window that anybody has counted in
    [[nodiscard]] std::int64_t newest_window() const
    {
        return m_newest;
    }

    [[nodiscard]] const std::map<counting_start, counts_by_window>&
    entries() const
    {
        return m_entries;
    }

private:
    std::map<counting_start, counts_by_window> m_entries;
    std::int64_t m_newest = 0;
};

} // namespace daleshelf
