#include "move_choice.hpp"

#include <array>

namespace daleshelf
{

namespace
{

// Predictions are off by about this much; see docs/MEASUREMENTS.md.
constexpr double finish_margin = 1.3;
constexpr absl::Duration least_move_time = absl::Milliseconds(200);
// Fewer tokens are computed again faster than two transfers begin.
constexpr std::int64_t least_moved_tokens = 64;

} // namespace

move_kind choose_move(const move_situation& situation, move_policy policy)
{
    if (policy != move_policy::cheapest)
    {
        static constexpr std::array<move_kind, 4> only{
            move_kind::finish, move_kind::finish, move_kind::move_cache,
            move_kind::recompute};
        return only.at(static_cast<std::size_t>(policy));
    }
    // 1. Nothing is cheaper than to end where it is.
    const auto needed = situation.between_tokens *
                        static_cast<double>(situation.tokens_left) *
                        finish_margin;
    const bool is_paced = situation.between_tokens > absl::ZeroDuration();
    if (is_paced && needed < situation.time_left)
    {
        return move_kind::finish;
    }
    // 2. Moving beats computing again if there is much to move and time.
    const bool is_worth_moving = situation.has_stream &&
                                 situation.tokens_held >= least_moved_tokens &&
                                 situation.time_left >= least_move_time;
    return is_worth_moving ? move_kind::move_cache : move_kind::recompute;
}

} // namespace daleshelf
