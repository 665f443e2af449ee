/// @file
/// Upstreams in an order that depends on a prefix, found in logarithmic time.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace daleshelf
{

struct upstream_entry;

/// Consistent hashing (Karger et al., 1997): equal prefixes give the same
/// order on every host that knows the same upstreams, and an upstream that
/// comes or goes changes the order of few prefixes.
class upstream_ring
{
public:
    using upstream_ptr = std::shared_ptr<const upstream_entry>;

    upstream_ring() = default;

    /// @param upstreams what to order
    explicit upstream_ring(std::vector<upstream_ptr> upstreams);

    [[nodiscard]] const std::vector<upstream_ptr>& upstreams() const
    {
        return m_upstreams;
    }

    /// Visits upstreams, each once, beginning at a prefix's place.
    /// @param prefix hash of a prompt's prefix
    /// @param visitor called with an upstream; false ends the visit
    template <typename Visitor>
    void visit(std::uint64_t prefix, const Visitor& visitor) const
    {
        std::vector<bool> is_seen(m_upstreams.size(), false);
        std::size_t seen = 0;
        auto place = find(prefix);
        for (std::size_t i = 0;
             i < m_points.size() && seen < m_upstreams.size(); ++i)
        {
            const auto index = m_points[place].second;
            place = place + 1 == m_points.size() ? 0 : place + 1;
            if (is_seen[index])
            {
                continue;
            }
            is_seen[index] = true;
            ++seen;
            if (!visitor(m_upstreams[index]))
            {
                return;
            }
        }
    }

private:
    using point = std::pair<std::uint64_t, std::uint32_t>;

    [[nodiscard]] std::size_t find(std::uint64_t prefix) const;

    std::vector<upstream_ptr> m_upstreams;
    std::vector<point> m_points; ///< sorted
};

} // namespace daleshelf
