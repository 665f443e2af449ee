#include "upstream_ring.hpp"

#include "configuration.hpp"

#include <algorithm>
#include <base/digest.hpp>

namespace daleshelf
{

namespace
{

// Points of one upstream: more make shares more even and the ring larger.
constexpr std::uint64_t points_per_upstream = 40;

} // namespace

upstream_ring::upstream_ring(std::vector<upstream_ptr> upstreams)
    : m_upstreams(std::move(upstreams))
{
    m_points.reserve(m_upstreams.size() * points_per_upstream);
    for (std::uint32_t index = 0; index < m_upstreams.size(); ++index)
    {
        for (std::uint64_t number = 0; number < points_per_upstream; ++number)
        {
            m_points.emplace_back(
                stable_hash(m_upstreams[index]->id.value(), number), index);
        }
    }
    std::sort(m_points.begin(), m_points.end());
}

std::size_t upstream_ring::find(std::uint64_t prefix) const
{
    const auto found =
        std::lower_bound(m_points.begin(), m_points.end(), point(prefix, 0));
    return found == m_points.end()
               ? 0
               : static_cast<std::size_t>(found - m_points.begin());
}

} // namespace daleshelf
