#include "share_meter.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// What nobody could be given for this long is lost, or much that was earned
// long ago would be used at once. In seconds; a little more than the pause
// between two deposits.
constexpr double longest_kept = 0.6;

} // namespace

void share_meter::set_share(double share, absl::Time now)
{
    earn(now);
    m_share = share;
}

double share_meter::give(const host_id& keeper, incarnation started,
                         absl::Time now)
{
    earn(now);
    auto& account = m_accounts[keeper];
    if (account.started != started)
    {
        account = {started, 0};
    }
    account.given += m_earned;
    m_earned = 0;
    return account.given;
}

void share_meter::earn(absl::Time now)
{
    if (m_earned_at != absl::InfinitePast())
    {
        m_earned += m_share * absl::ToDoubleSeconds(now - m_earned_at);
        m_earned = std::min(m_earned, m_share * longest_kept);
    }
    m_earned_at = now;
}

} // namespace daleshelf
