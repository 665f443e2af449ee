/// @file
/// How long the machine was suspended.
#pragma once

#include "boot_clock.hpp"

namespace daleshelf
{

/// Compares the clock that counts suspensions with the one that does not.
class suspension_watch
{
public:
    /// @return how long the machine was suspended since the last call; 0 if it
    /// was not
    boot_clock::duration take()
    {
        const auto before = m_behind;
        const auto now = behind();
        if (now - before < least_time)
        {
            return boot_clock::duration(0);
        }
        m_behind = now;
        return now - before;
    }

private:
    // The two clocks are read one after the other.
    static constexpr std::chrono::milliseconds least_time{20};

    static boot_clock::duration behind()
    {
        const auto steady = std::chrono::steady_clock::now();
        return boot_clock::now().time_since_epoch() - steady.time_since_epoch();
    }

    boot_clock::duration m_behind = behind();
};

} // namespace daleshelf
