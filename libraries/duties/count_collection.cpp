#include "count_collection.hpp"

#include <algorithm>

namespace daleshelf
{

void count_collection::begin(std::int64_t window)
{
    if (window == m_window)
    {
        return;
    }
    m_window = window;
    m_received.clear();
    m_requested_at.clear();
}

std::vector<host_id>
count_collection::take_due_hosts(const std::vector<host_id>& hosts,
                                 absl::Time now)
{
    // Hosts that were never queried sort first, so hosts that are down cannot
    // starve the others.
    std::vector<std::pair<absl::Time, host_id>> due;
    for (const auto& host : hosts)
    {
        const auto last_request = m_requested_at.find(host);
        const auto requested_at = last_request == m_requested_at.end()
                                      ? absl::InfinitePast()
                                      : last_request->second;
        if (!m_received.contains(host) &&
            now - requested_at >= m_options.retry_interval)
        {
            due.emplace_back(requested_at, host);
        }
    }
    const auto size = std::min(due.size(), m_options.max_batch_size);
    const auto end = due.begin() + static_cast<std::ptrdiff_t>(size);
    std::partial_sort(due.begin(), end, due.end());
    std::vector<host_id> batch;
    for (auto next = due.begin(); next != end; ++next)
    {
        m_requested_at[next->second] = now;
        batch.push_back(next->second);
    }
    return batch;
}

void count_collection::on_counts_received(std::int64_t window,
                                          const host_id& host)
{
    if (window == m_window)
    {
        m_received.insert(host);
    }
}

bool count_collection::is_complete(const std::vector<host_id>& hosts) const
{
    return std::all_of(hosts.begin(), hosts.end(),
                       [this](const host_id& host)
                       { return m_received.contains(host); });
}

} // namespace daleshelf
