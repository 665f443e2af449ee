/// @file
/// Time of day, estimated from clocks that may be wrong.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// Estimates the time of day as the median of all hosts' clocks, extrapolated
/// with the monotonic clock, so that a step of one host's clock has no effect.
class time_estimate
{
public:
    /// Records a host's clock reading at a time of the monotonic clock.
    void update(const host_id& host, absl::Time wall, absl::Time monotonic);

    /// Removes a host that was evicted.
    void remove(const host_id& host);

    /// @return the time of day at a time of the monotonic clock; that time
    /// itself while no host is known
    [[nodiscard]] absl::Time at(absl::Time monotonic) const;

private:
    std::map<host_id, absl::Duration> m_offsets; ///< wall minus monotonic
};

} // namespace daleshelf
