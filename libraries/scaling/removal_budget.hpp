/// @file
/// Limits removals until replacements have started.
#pragma once

#include <algorithm>

namespace daleshelf
{

/// Number of upstreams that may be removed now. The platform accepts an order
/// at once, but the upstreams start seconds later, or never where there is no
/// capacity, so the replaced ones stay until then. Without this limit 110
/// on-demand upstreams left while 118 spot upstreams were only ordered, and the
/// score of four windows of two seconds fell to 0.39 to 0.59 (70 hosts, one
/// simulation).
class removal_budget
{
public:
    /// @param present upstreams that receive work, without those to be removed
    /// @param needed upstreams that must keep running
    removal_budget(int present, int needed)
        : m_remaining(std::max(0, present - needed))
    {
    }

    /// Lowers one target as far as the budget allows and deducts the removals.
    /// @param present upstreams of one kind and hall, without those to be
    /// removed
    /// @param planned final target
    /// @return target for now
    [[nodiscard]] int reduce_towards(int present, int planned)
    {
        const auto taken =
            std::min(m_remaining, std::max(0, present - planned));
        m_remaining -= taken;
        return std::max(planned, present - taken);
    }

private:
    int m_remaining;
};

} // namespace daleshelf
