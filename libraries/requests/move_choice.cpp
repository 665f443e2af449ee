#include "move_choice.hpp"

#include <array>

namespace daleshelf
{

namespace
{

// Covers the error of predicted finish times; see docs/MEASUREMENTS.md.
constexpr double finish_time_safety_factor = 1.3;
constexpr absl::Duration min_move_time = absl::Milliseconds(200);
// Recomputing fewer tokens takes less time than starting two transfers.
constexpr std::int64_t min_moved_tokens = 64;

} // namespace

move_kind choose_move(const move_situation& situation, move_policy policy)
{
    if (policy != move_policy::cheapest)
    {
        static constexpr std::array<move_kind, 4> kind_by_policy{
            move_kind::finish, move_kind::finish, move_kind::move_cache,
            move_kind::recompute};
        return kind_by_policy.at(static_cast<std::size_t>(policy));
    }
    // 1. Finishing on the leaving upstream costs least, if time suffices.
    const auto predicted_finish_time =
        situation.token_interval *
        static_cast<double>(situation.max_remaining_tokens) *
        finish_time_safety_factor;
    const bool is_interval_known =
        situation.token_interval > absl::ZeroDuration();
    if (is_interval_known && predicted_finish_time < situation.time_left)
    {
        return move_kind::finish;
    }
    // 2. Moving beats recomputing if the context is long and time suffices.
    const bool is_worth_moving = situation.has_stream_id &&
                                 situation.context_tokens >= min_moved_tokens &&
                                 situation.time_left >= min_move_time;
    return is_worth_moving ? move_kind::move_cache : move_kind::recompute;
}

} // namespace daleshelf
