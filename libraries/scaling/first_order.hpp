/// @file
/// Assumptions of a new lease holder about earlier orders, and the timeout
/// after which ordered upstreams count as lost.
#pragma once

#include <absl/time/time.h>

namespace daleshelf
{

/// Stands for an unknown number of ordered upstreams: any wanted number is
/// ordered at once.
inline constexpr int unknown_order_count = -1;

/// A new lease holder knows neither the previous orders nor which halls have no
/// spot capacity. Upstreams that it removes at once may be needed a second
/// later, and upstreams take seconds to start. It therefore orders increases at
/// once, while reductions wait as they do for any holder.
/// @param present upstreams that are running
/// @param wanted upstreams in the first plan
/// @return the number to assume as ordered
[[nodiscard]] constexpr int assumed_order_count(int present, int wanted)
{
    return wanted < present ? present : unknown_order_count;
}

/// Upstreams that were reclaimed or have failed for good do not return by
/// themselves and must be ordered again.
/// @param boot_time boot time of the service's upstreams
/// @return time after an order from which missing upstreams count as lost
[[nodiscard]] inline absl::Duration loss_timeout(absl::Duration boot_time)
{
    // Upstreams register by heartbeat, usually every 1.2 s, and changes of the
    // list are polled every 0.8 s at the latest; the rest is a margin for a
    // slow store.
    constexpr absl::Duration listing_time = absl::Seconds(3);
    return boot_time + listing_time;
}

} // namespace daleshelf
