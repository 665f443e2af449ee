/// @file
/// The time of day.
#pragma once

#include <absl/time/time.h>

#include <chrono>

namespace daleshelf
{

/// Asks the operating system each time. `absl::Now()` goes on by the
/// processor's cycle counter between two looks at the system's clock: where
/// the two do not run alike, on a machine that is held up or moved, it was up
/// to 10 s off (log lines of one host of 295 against the time at which they
/// were read), and usage was counted into the wrong windows of 5 s.
/// @return the system's time of day
[[nodiscard]] inline absl::Time wall_time()
{
    return absl::FromChrono(std::chrono::system_clock::now());
}

} // namespace daleshelf
