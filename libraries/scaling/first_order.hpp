/// @file
/// What a holder of the duties may take as ordered, and as lost.
#pragma once

#include <absl/time/time.h>

namespace daleshelf
{

/// No number is known to be ordered: whatever is wanted is ordered at once.
inline constexpr int nothing_ordered = -1;

/// A new holder knows neither what was ordered before it nor which halls have
/// no spot servers, so what it would take away at once may be missing a second
/// later, and servers take seconds to start. More goes out at once; fewer wait
/// as they do for any holder.
/// @param present servers that are there
/// @param wanted servers of its first plan
/// @return the number to take as ordered
[[nodiscard]] constexpr int taken_as_ordered(int present, int wanted)
{
    return wanted < present ? present : nothing_ordered;
}

/// Servers that were taken away, or are lost for good, do not come back by
/// themselves.
/// @param boot_time of the service's servers
/// @return how long after an order whoever is not there counts as lost
[[nodiscard]] inline absl::Duration lost_after(absl::Duration boot_time)
{
    // A server lists itself by a heartbeat, mostly every 1.2 s, and changes of
    // the list are read every 0.8 s at the latest; the rest is for a slow
    // store.
    constexpr absl::Duration listing_time = absl::Seconds(3);
    return boot_time + listing_time;
}

} // namespace daleshelf
