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
    situation.between_tokens = absl::Milliseconds(20);
    situation.tokens_left = 500;
    situation.tokens_held = 1000;
    situation.has_stream = true;
    return situation;
}

move_kind choose(const move_situation& situation)
{
    return choose_move(situation, move_policy::cheapest);
}

TEST(move_choice, lets_end_what_will_end_in_time)
{
    auto situation = make_situation();
    situation.tokens_left = 50;
    EXPECT_EQ(move_kind::finish, choose(situation));
}

TEST(move_choice, moves_what_is_computed_if_there_is_much_of_it)
{
    EXPECT_EQ(move_kind::move_cache, choose(make_situation()));
}

TEST(move_choice, computes_again_what_is_short_or_what_there_is_no_time_for)
{
    auto situation = make_situation();
    situation.tokens_held = 20;
    EXPECT_EQ(move_kind::recompute, choose(situation));
    situation = make_situation();
    situation.time_left = absl::Milliseconds(50);
    EXPECT_EQ(move_kind::recompute, choose(situation));
}

TEST(move_choice, does_not_trust_a_pace_that_was_not_measured)
{
    auto situation = make_situation();
    situation.between_tokens = absl::ZeroDuration();
    situation.tokens_left = 1;
    EXPECT_NE(move_kind::finish, choose(situation));
}

} // namespace
} // namespace daleshelf
