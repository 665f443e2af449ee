#include "credit_accumulator.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Credit that cannot be allocated within this time, in seconds, is lost;
// otherwise credit of a long period would be used in one burst. Slightly longer
// than the interval between deposits.
constexpr double max_accrued_seconds = 0.6;

} // namespace

void credit_accumulator::set_share(double share, absl::Time now)
{
    accrue(now);
    m_share = share;
}

double credit_accumulator::allocate(const host_id& keeper,
                                    incarnation keeper_incarnation,
                                    absl::Time now)
{
    accrue(now);
    auto& target = m_allocations[keeper];
    if (target.keeper_incarnation != keeper_incarnation)
    {
        target = {keeper_incarnation, 0};
    }
    target.total += m_unallocated;
    m_unallocated = 0;
    return target.total;
}

void credit_accumulator::accrue(absl::Time now)
{
    if (m_accrued_at != absl::InfinitePast())
    {
        m_unallocated += m_share * absl::ToDoubleSeconds(now - m_accrued_at);
        m_unallocated = std::min(m_unallocated, m_share * max_accrued_seconds);
    }
    m_accrued_at = now;
}

} // namespace daleshelf
