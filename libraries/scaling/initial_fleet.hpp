/// @file
/// The servers of a service before any order has changed their number.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace daleshelf
{

/// Counts the servers that the operator has set up. A list of servers fills
/// one by one after a first start: it says nothing of a fleet's size before it
/// has stopped growing.
class initial_fleet
{
public:
    /// @param settle_time for how long the list must not have grown
    explicit initial_fleet(absl::Duration settle_time)
        : m_settle_time(settle_time)
    {
    }

    /// Takes the present number of servers.
    void note(int present, absl::Time now)
    {
        if (has_settled(now))
        {
            return;
        }
        if (present > m_servers || m_grown_at == absl::InfiniteFuture())
        {
            m_grown_at = now;
        }
        m_servers = std::max(m_servers, present);
    }

    /// @return whether the list has stopped growing
    [[nodiscard]] bool has_settled(absl::Time now) const
    {
        return m_servers > 0 && now - m_grown_at >= m_settle_time;
    }

    /// @return the most servers that were there before the list had settled
    [[nodiscard]] int servers() const
    {
        return m_servers;
    }

private:
    absl::Duration m_settle_time;
    int m_servers = 0;
    absl::Time m_grown_at = absl::InfiniteFuture();
};

} // namespace daleshelf
