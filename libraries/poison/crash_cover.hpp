/// @file
/// Which confirmed requests are needed to explain the crashes of upstreams.
#pragma once

#include "poison_record.hpp"

#include <set>
#include <vector>

namespace daleshelf
{

/// An irredundant cover of crashes by confirmed requests. A request that ran
/// beside others at each of its crashes is an innocent one more often than a
/// further poison request. See docs/design/poison.md, "Requests that others
/// explain".
class crash_cover
{
public:
    /// @param age_spread factor within which the ages lie at which one poison
    /// request crashes its upstreams
    explicit crash_cover(double age_spread) : m_age_spread(age_spread) {}

    /// Drops confirmed requests, the weakest first, whose crashes the others
    /// explain.
    void set_confirmed(const std::vector<poison_record>& confirmed);

    /// @return whether other requests of the cover explain each crash under
    /// this one
    [[nodiscard]] bool explains(const poison_record& record) const;

private:
    /// A confirmed request and the crashes that it can have caused.
    struct culprit
    {
        request_fingerprint fingerprint;
        std::size_t response_count = 0;
        std::set<server_incarnation> caused_crashes;
    };

    [[nodiscard]] culprit make_culprit(const poison_record& record) const;

    double m_age_spread;
    std::vector<culprit> m_culprits;
};

} // namespace daleshelf
