/// @file
/// How requests are brought through the reclaim of their upstream.
#pragma once

namespace daleshelf
{

/// Which ways may be taken.
enum class move_policy
{
    cheapest,       ///< by predicted cost
    finish_only,    ///< for comparison: stay until the upstream is gone
    cache_only,     ///< for comparison: always move what is computed
    recompute_only, ///< for comparison: always compute again
};

} // namespace daleshelf
