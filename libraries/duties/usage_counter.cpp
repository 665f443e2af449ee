#include "usage_counter.hpp"

namespace daleshelf
{

namespace
{

constexpr std::size_t most_windows = 5;

} // namespace

void usage_counter::count(const workspace_id& tenant, absl::Time now)
{
    ++m_counts[window_of(now)][tenant];
    while (m_counts.size() > most_windows)
    {
        m_counts.erase(m_counts.begin());
    }
}

std::int64_t usage_counter::window_of(absl::Time time) const
{
    return (time - absl::UnixEpoch()) / m_window;
}

absl::Time usage_counter::end_of(std::int64_t window) const
{
    return absl::UnixEpoch() + m_window * (window + 1);
}

} // namespace daleshelf
