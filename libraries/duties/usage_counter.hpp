/// @file
/// Requests that began to run through this machine, by window and tenant.
#pragma once

#include <absl/time/time.h>

#include <base/usage_counts.hpp>

namespace daleshelf
{

/// Counts by windows of the time of day; a window's number is its start
/// divided by its length.
class usage_counter
{
public:
    explicit usage_counter(absl::Duration window) : m_window(window) {}

    /// Counts a request that has begun to run.
    void count(const workspace_id& tenant, absl::Time now);

    /// @return the number of the window that a time is in
    [[nodiscard]] std::int64_t window_of(absl::Time time) const;

    /// @return when a window ends
    [[nodiscard]] absl::Time end_of(std::int64_t window) const;

    /// @return the newest windows with their counts
    [[nodiscard]] const counts_by_window& counts() const
    {
        return m_counts;
    }

private:
    absl::Duration m_window;
    counts_by_window m_counts;
};

} // namespace daleshelf
