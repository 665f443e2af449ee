/// @file
/// True time of day from clocks that may be wrong.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// Estimates the time of day as the median of what all machines' clocks say,
/// carried on by the monotonic clock, so that a step of one machine's clock
/// changes nothing.
class time_estimate
{
public:
    /// Notes what a machine's clock says at a moment of the monotonic clock.
    void note(const host_id& machine, absl::Time wall, absl::Time monotonic);

    /// Forgets a machine that is gone.
    void forget(const host_id& machine);

    /// @return the time of day at a moment of the monotonic clock
    [[nodiscard]] absl::Time at(absl::Time monotonic) const;

private:
    std::map<host_id, absl::Duration> m_offsets; ///< wall less monotonic
};

} // namespace daleshelf
