#include <gtest/gtest.h>

#include <requests/request_machine.hpp>

namespace daleshelf
{
namespace
{

request_description describe(repeatability repeats)
{
    request_description description;
    description.id = request_id("r");
    description.repeats = repeats;
    return description;
}

attempt_result result_of(attempt_result::outcome what)
{
    attempt_result result;
    result.what = what;
    return result;
}

template <typename Action>
const Action* find(const request_actions& actions)
{
    for (const auto& action : actions)
    {
        if (const auto* found = std::get_if<Action>(&action))
        {
            return found;
        }
    }
    return nullptr;
}

using outcome = attempt_result::outcome;

const attempt_id first("r.1");
const attempt_id second("r.2");
const upstream_id engine("engine");
constexpr std::int64_t max_attempts = 3;

TEST(request_machine, splices_an_answer_by_position)
{
    request_machine machine(describe(repeatability::repeatable), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    EXPECT_FALSE(machine.on_token(first, token_position(0), " a").empty());
    EXPECT_TRUE(machine.on_token(first, token_position(2), " c").empty());
    EXPECT_TRUE(machine.on_token(first, token_position(0), " x").empty());
    EXPECT_FALSE(machine.on_token(first, token_position(1), " b").empty());
    EXPECT_EQ(" a b", machine.answer().text());
}

TEST(request_machine, does_not_end_while_a_token_is_missing)
{
    request_machine machine(describe(repeatability::repeatable), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    (void)machine.on_token(first, token_position(0), " a");
    EXPECT_TRUE(
        machine.on_finish(first, token_position(2), "length", {}).empty());
    EXPECT_FALSE(machine.is_ended());
}

TEST(request_machine, drops_events_of_an_earlier_attempt)
{
    request_machine machine(describe(repeatability::repeatable), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    (void)machine.on_attempt_ended(first, result_of(outcome::refused), true);
    machine.set_upstream(second, upstream_id("other"));
    EXPECT_TRUE(machine.on_token(first, token_position(0), " a").empty());
    EXPECT_FALSE(machine.on_token(second, token_position(0), " a").empty());
}

TEST(request_machine, reads_on_from_a_stream_that_broke)
{
    request_machine machine(describe(repeatability::once_only), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    machine.on_stream_id(first, "s");
    (void)machine.on_token(first, token_position(0), " a");
    const auto actions =
        machine.on_attempt_ended(first, result_of(outcome::broken), true);
    const auto* resumed = find<resume_stream>(actions);
    ASSERT_NE(nullptr, resumed);
    EXPECT_EQ("s", resumed->stream_id);
    EXPECT_EQ(token_position(1), resumed->from);
}

TEST(request_machine, never_sends_twice_what_may_run_once_only)
{
    request_machine machine(describe(repeatability::once_only), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    const auto actions =
        machine.on_attempt_ended(first, result_of(outcome::broken), true);
    const auto* failed = find<fail_request>(actions);
    ASSERT_NE(nullptr, failed);
    EXPECT_EQ(verdict::may_have_run, failed->error.run());
}

TEST(request_machine, sends_again_what_certainly_did_not_run)
{
    request_machine machine(describe(repeatability::once_only), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    const auto actions =
        machine.on_attempt_ended(first, result_of(outcome::unreachable), true);
    EXPECT_NE(nullptr, find<start_attempt>(actions));
}

TEST(request_machine, says_not_run_after_several_attempts_that_did_not_run)
{
    request_machine machine(describe(repeatability::repeatable), 2);
    (void)machine.start();
    machine.set_upstream(first, engine);
    (void)machine.on_attempt_ended(first, result_of(outcome::refused), true);
    machine.set_upstream(second, upstream_id("other"));
    const auto actions =
        machine.on_attempt_ended(second, result_of(outcome::refused), true);
    const auto* failed = find<fail_request>(actions);
    ASSERT_NE(nullptr, failed);
    EXPECT_EQ(verdict::not_run, failed->error.run());
    EXPECT_TRUE(failed->error.retry_after().has_value());
}

TEST(request_machine, reports_may_have_run_after_an_ambiguous_attempt)
{
    request_machine machine(describe(repeatability::repeatable), 2);
    (void)machine.start();
    machine.set_upstream(first, engine);
    (void)machine.on_attempt_ended(first, result_of(outcome::broken), true);
    machine.set_upstream(second, upstream_id("other"));
    const auto actions =
        machine.on_attempt_ended(second, result_of(outcome::refused), true);
    EXPECT_EQ(verdict::may_have_run, find<fail_request>(actions)->error.run());
}

TEST(request_machine, does_not_send_for_an_owner_that_may_only_be_frozen)
{
    request_machine copy(describe(repeatability::once_only), max_attempts);
    const auto actions = copy.take_over(takeover_cause::owner_lost);
    const auto* failed = find<fail_request>(actions);
    ASSERT_NE(nullptr, failed);
    EXPECT_EQ(verdict::may_have_run, failed->error.run());
}

TEST(request_machine, sends_what_was_relinquished_unsent)
{
    request_machine copy(describe(repeatability::once_only), max_attempts);
    const auto actions = copy.take_over(takeover_cause::relinquished);
    EXPECT_NE(nullptr, find<start_attempt>(actions));
}

TEST(request_machine, goes_on_elsewhere_with_the_answer_so_far)
{
    request_machine machine(describe(repeatability::repeatable), max_attempts);
    (void)machine.start();
    machine.set_upstream(first, engine);
    (void)machine.on_token(first, token_position(0), " a");
    const auto actions = machine.on_upstream_leaving();
    EXPECT_NE(nullptr, find<cancel_attempt>(actions));
    EXPECT_NE(nullptr, find<start_attempt>(actions));
    EXPECT_EQ(" a", machine.answer().text());
}

} // namespace
} // namespace daleshelf
