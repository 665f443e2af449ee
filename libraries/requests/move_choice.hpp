/// @file
/// Chooses how a request continues when its upstream is leaving.
#pragma once

#include <absl/time/time.h>

#include <base/move_policy.hpp>
#include <cstdint>

namespace daleshelf
{

/// Ways to continue a request across the reclaim of its upstream.
enum class move_kind
{
    finish,     ///< let it finish on the leaving upstream
    move_cache, ///< transfer the computed cache, then continue elsewhere
    recompute,  ///< continue elsewhere from the partial answer
};

/// State of a request at the time of a reclaim notice.
struct move_situation
{
    absl::Duration time_left;      ///< until the upstream is reclaimed
    absl::Duration token_interval; ///< mean of this request; 0 if not measured
    std::int64_t max_remaining_tokens = 0; ///< upper bound
    std::int64_t context_tokens = 0;       ///< prompt and partial answer
    bool has_stream_id = false;            ///< whether the stream id is known
};

/// Chooses the way to continue with the lowest predicted cost.
/// @param situation state of the request
/// @param policy `cheapest`, or the way that is always taken
/// @return the way to continue
[[nodiscard]] move_kind choose_move(const move_situation& situation,
                                    move_policy policy);

} // namespace daleshelf
