/// @file
/// A monotonic clock that includes the time for which the machine is suspended.
#pragma once

#include <chrono>
#include <ctime>

namespace daleshelf
{

/// Wraps CLOCK_BOOTTIME. std::chrono::steady_clock stops during a suspension,
/// so that a host could take an expired lease for a valid one after it resumes.
/// Time points of the two clocks cannot be mixed.
class boot_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace daleshelf
