#include "time_estimate.hpp"

#include <algorithm>
#include <vector>

namespace daleshelf
{

void time_estimate::update(const host_id& host, absl::Time wall,
                           absl::Time monotonic)
{
    m_offsets[host] = wall - monotonic;
}

void time_estimate::remove(const host_id& host)
{
    m_offsets.erase(host);
}

absl::Time time_estimate::at(absl::Time monotonic) const
{
    if (m_offsets.empty())
    {
        return monotonic;
    }
    std::vector<absl::Duration> offsets;
    offsets.reserve(m_offsets.size());
    for (const auto& [host, offset] : m_offsets)
    {
        offsets.push_back(offset);
    }
    const auto median =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    return monotonic + *median;
}

} // namespace daleshelf
