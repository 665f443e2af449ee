/// @file
/// Counts of requests started through this host, by window and workspace.
#pragma once

#include <absl/time/time.h>

#include <base/usage_counts.hpp>

namespace daleshelf
{

/// Counts requests in tumbling windows of wall-clock time. The number of a
/// window is its start, counted from the Unix epoch, divided by its length.
/// Only the newest windows are kept.
class usage_counter
{
public:
    /// @param window length of a window
    explicit usage_counter(absl::Duration window) : m_window_length(window) {}

    /// Counts a request that has started.
    /// @param tenant the workspace of the request
    /// @param now wall-clock time
    void count(const workspace_id& tenant, absl::Time now);

    /// @return the number of the window that contains a time
    [[nodiscard]] std::int64_t window_at(absl::Time time) const;

    /// @return when a window ends
    [[nodiscard]] absl::Time window_end(std::int64_t window) const;

    /// @return the counts of the newest windows
    [[nodiscard]] const counts_by_window& counts() const
    {
        return m_counts;
    }

private:
    absl::Duration m_window_length;
    counts_by_window m_counts;
};

} // namespace daleshelf
