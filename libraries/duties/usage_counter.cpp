#include "usage_counter.hpp"

namespace daleshelf
{

namespace
{

constexpr std::size_t max_windows = 5;

} // namespace

void usage_counter::count(const workspace_id& tenant, absl::Time now)
{
    ++m_counts[window_at(now)][tenant];
    while (m_counts.size() > max_windows)
    {
        m_counts.erase(m_counts.begin());
    }
}

std::int64_t usage_counter::window_at(absl::Time time) const
{
    return (time - absl::UnixEpoch()) / m_window_length;
}

absl::Time usage_counter::window_end(std::int64_t window) const
{
    return absl::UnixEpoch() + m_window_length * (window + 1);
}

} // namespace daleshelf
