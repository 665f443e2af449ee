/// @file
/// What the kernel counts of a process; see proc(5).
#pragma once

#include <cstdint>
#include <sys/types.h>

namespace daleshelf::benchmark
{

/// @return processor time that a process has used, in seconds
[[nodiscard]] double processor_seconds(pid_t pid);

/// @return its resident memory, in kilobytes
[[nodiscard]] std::int64_t resident_kilobytes(pid_t pid);

} // namespace daleshelf::benchmark
