#include "time_estimate.hpp"

#include <algorithm>
#include <vector>

namespace daleshelf
{

void time_estimate::note(const host_id& machine, absl::Time wall,
                         absl::Time monotonic)
{
    m_offsets[machine] = wall - monotonic;
}

void time_estimate::forget(const host_id& machine)
{
    m_offsets.erase(machine);
}

absl::Time time_estimate::at(absl::Time monotonic) const
{
    if (m_offsets.empty())
    {
        return monotonic;
    }
    std::vector<absl::Duration> offsets;
    offsets.reserve(m_offsets.size());
    for (const auto& [machine, offset] : m_offsets)
    {
        offsets.push_back(offset);
    }
    const auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return monotonic + *middle;
}

} // namespace daleshelf
