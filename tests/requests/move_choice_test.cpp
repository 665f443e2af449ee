#include <gtest/gtest.h>

#include <requests/move_choice.hpp>

namespace daleshelf
{
namespace
{

move_situation make_situation()
{
    move_situation situation;
    situation.time_left = absl::Seconds(3);
    situation.token_interval = absl::Milliseconds(20);
    situation.max_remaining_tokens = 500;
    situation.context_tokens = 1000;
    situation.has_stream_id = true;
    return situation;
}

move_kind choose(const move_situation& situation)
{
    return choose_move(situation, move_policy::cheapest);
}

TEST(move_choice, finishes_in_place_if_time_suffices)
{
    auto situation = make_situation();
    situation.max_remaining_tokens = 50;
    EXPECT_EQ(move_kind::finish, choose(situation));
}

TEST(move_choice, moves_the_cache_of_a_long_context)
{
    EXPECT_EQ(move_kind::move_cache, choose(make_situation()));
}

TEST(move_choice, recomputes_if_context_or_time_is_short)
{
    auto situation = make_situation();
    situation.context_tokens = 20;
    EXPECT_EQ(move_kind::recompute, choose(situation));
    situation = make_situation();
    situation.time_left = absl::Milliseconds(50);
    EXPECT_EQ(move_kind::recompute, choose(situation));
}

TEST(move_choice, does_not_trust_a_pace_that_was_not_measured)
{
    auto situation = make_situation();
    situation.token_interval = absl::ZeroDuration();
    situation.max_remaining_tokens = 1;
    EXPECT_NE(move_kind::finish, choose(situation));
}

} // namespace
} // namespace daleshelf
