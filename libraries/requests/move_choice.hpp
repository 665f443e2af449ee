/// @file
/// What to do with a request at an upstream that is leaving.
#pragma once

#include <absl/time/time.h>

#include <base/move_policy.hpp>
#include <cstdint>

namespace daleshelf
{

/// Ways to bring a request through the reclaim of its upstream.
enum class move_kind
{
    finish,     ///< it ends there in time
    move_cache, ///< move what is computed, then go on elsewhere
    recompute,  ///< go on elsewhere with the answer so far
};

/// What is known of a request at the time of a notice.
struct move_situation
{
    absl::Duration time_left;      ///< until the upstream is gone
    absl::Duration between_tokens; ///< measured for this request
    std::int64_t tokens_left = 0;  ///< at the most
    std::int64_t tokens_held = 0;  ///< prompt and answer so far
    bool has_stream = false;       ///< the upstream has named its stream
};

/// Chooses the way with the lowest predicted cost.
/// @param situation what is known
/// @param policy which ways may be taken
[[nodiscard]] move_kind choose_move(const move_situation& situation,
                                    move_policy policy);

} // namespace daleshelf
