#include "upstream_health.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// From about the time in which a reconnect becomes visible, up to the boot time
// of an upstream.
constexpr absl::Duration base_unhealthy_time = absl::Milliseconds(400);
constexpr absl::Duration max_unhealthy_time = absl::Seconds(4);

// A single failed request is weak evidence: services fail some requests while
// they are healthy.
constexpr int tolerated_failures = 3;

} // namespace

void upstream_health::record(const upstream_id& server, attempt_outcome outcome,
                             absl::Time now)
{
    auto& known = m_states[server];
    if (outcome == attempt_outcome::succeeded)
    {
        known = {};
        return;
    }
    if (outcome == attempt_outcome::rejected)
    {
        known.unhealthy_until =
            std::max(known.unhealthy_until, now + base_unhealthy_time / 4);
        return;
    }
    known.consecutive_failures += 1;
    known.failed_at = now;
    if (outcome == attempt_outcome::failed &&
        known.consecutive_failures < tolerated_failures)
    {
        return;
    }
    const auto unhealthy_time = std::min(
        max_unhealthy_time,
        base_unhealthy_time * (1 << std::min(known.consecutive_failures, 4)));
    known.unhealthy_until = now + unhealthy_time;
}

bool upstream_health::is_unhealthy(const upstream_id& server,
                                   absl::Time now) const
{
    const auto known = m_states.find(server);
    return known != m_states.end() && now < known->second.unhealthy_until;
}

void upstream_health::discard_failures(absl::Time since)
{
    absl::erase_if(m_states, [since](const auto& known)
                   { return known.second.failed_at >= since; });
}

} // namespace daleshelf
