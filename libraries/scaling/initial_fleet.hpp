/// @file
/// Number of upstreams of a service before the first order.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace daleshelf
{

/// Determines the number of upstreams that the operator has set up. They
/// register one by one after a cold start, so the length of the list is the
/// size of the fleet only after it has stopped growing.
class initial_fleet
{
public:
    /// @param settle_time time without growth after which the list is complete
    explicit initial_fleet(absl::Duration settle_time)
        : m_settle_time(settle_time)
    {
    }

    /// Updates the number of registered upstreams.
    /// @param present registered upstreams
    /// @param now present time
    void update(int present, absl::Time now)
    {
        if (has_settled(now))
        {
            return;
        }
        if (present > m_servers || m_last_growth == absl::InfiniteFuture())
        {
            m_last_growth = now;
        }
        m_servers = std::max(m_servers, present);
    }

    /// @return whether the list has stopped growing
    [[nodiscard]] bool has_settled(absl::Time now) const
    {
        return m_servers > 0 && now - m_last_growth >= m_settle_time;
    }

    /// @return the highest number of upstreams before the list has settled
    [[nodiscard]] int server_count() const
    {
        return m_servers;
    }

private:
    absl::Duration m_settle_time;
    int m_servers = 0;
    absl::Time m_last_growth = absl::InfiniteFuture();
};

} // namespace daleshelf
