#include <gtest/gtest.h>

#include <peers/datagram_format.hpp>
#include <rollouts/rollout_participant.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const version_name old_version("v1");
const version_name new_version("v2");
const log_offset order_offset(5);

absl::Time at(double second)
{
    return absl::UnixEpoch() + absl::Seconds(second);
}

rollout_directive word_of(double share, std::int64_t sequence,
                          std::int64_t token = 1)
{
    return {host_id("holder"),
            engines,
            order_offset,
            rollout_phase::running,
            share,
            token,
            sequence};
}

class rollout_participant_test : public testing::Test
{
protected:
    rollout_participant_test()
    {
        gate.record_server(engines, old_version, true, at(0));
        gate.set_order({engines, new_version, absl::Seconds(14), order_offset});
    }

    /// @return requests of `count` that go to the target
    int picked(int count, double second)
    {
        int target = 0;
        for (int number = 0; number < count; ++number)
        {
            target += watch.pick_target(engines, at(second)) ? 1 : 0;
        }
        return target;
    }

    version_gate gate;
    rollout_participant watch{host_id("host"), incarnation(1), gate};
};

TEST_F(rollout_participant_test, without_a_word_the_target_gets_nothing)
{
    EXPECT_EQ(picked(1000, 1), 0);
}

TEST_F(rollout_participant_test, the_target_gets_the_share_and_one_more_at_most)
{
    EXPECT_TRUE(watch.hear(word_of(0.05, 1), at(1)));
    const auto target = picked(1000, 1);
    EXPECT_GE(target, 50);
    EXPECT_LE(target, 51);
}

// A host that is cut off from the holder, or whose holder has died.
TEST_F(rollout_participant_test, a_word_holds_for_a_short_while)
{
    watch.hear(word_of(0.5, 1), at(1));
    EXPECT_GT(picked(10, 2), 0);
    EXPECT_EQ(picked(10, 2.3), 0);
}

TEST_F(rollout_participant_test,
       late_words_and_those_of_an_earlier_holder_are_left)
{
    EXPECT_TRUE(watch.hear(word_of(0, 2, 7), at(1)));
    EXPECT_FALSE(watch.hear(word_of(0.5, 1, 7), at(1)));
    EXPECT_FALSE(watch.hear(word_of(0.5, 9, 6), at(1)));
    EXPECT_EQ(picked(10, 1), 0);
}

TEST_F(rollout_participant_test, a_word_for_an_order_that_is_not_known_is_left)
{
    auto word = word_of(0.5, 1);
    word.order = log_offset(9);
    EXPECT_FALSE(watch.hear(word, at(1)));
}

TEST_F(rollout_participant_test, the_word_that_an_order_has_ended_ends_it)
{
    watch.hear(word_of(1, 1), at(1));
    auto word = word_of(0, 2);
    word.phase = rollout_phase::rolled_back;
    EXPECT_TRUE(watch.hear(word, at(1)));
    EXPECT_EQ(picked(10, 1), 0);
    EXPECT_FALSE(watch.report(engines));
    EXPECT_EQ(gate.phase_of(engines), rollout_phase::rolled_back);
}

TEST_F(rollout_participant_test, reports_what_both_versions_answered)
{
    watch.record_sent(engines, old_version);
    watch.record_sent(engines, new_version);
    watch.note_answer(engines, old_version, "r", {});
    EXPECT_FALSE(watch.has_news(engines));
    watch.note_answer(engines, new_version, "r", {true, 0, 0});
    EXPECT_TRUE(watch.has_news(engines));
    const auto report = watch.report(engines);
    ASSERT_TRUE(report);
    EXPECT_FALSE(watch.has_news(engines));
    EXPECT_EQ(report->seen.sent_old, 1);
    EXPECT_EQ(report->seen.sent_target, 1);
    EXPECT_EQ(report->seen.target.at("r").failures, 1);
    EXPECT_EQ(report->seen.old_version.at("r").failures, 0);
}

TEST_F(rollout_participant_test, a_later_order_begins_anew)
{
    watch.record_sent(engines, old_version);
    gate.set_order(
        {engines, version_name("v3"), absl::Seconds(9), log_offset(8)});
    const auto report = watch.report(engines);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->order, log_offset(8));
    EXPECT_EQ(report->seen, rollout_statistics());
}

TEST(rollout_message, comes_back_as_it_was_sent)
{
    rollout_report report{
        host_id("a"), incarnation(3), engines, order_offset, {}};
    report.seen.sent_old = 40;
    report.seen.sent_target = 2;
    report.seen.old_version["r"].add({false, 120, 25});
    report.seen.target["r"].add({true, 0, 0});
    const auto read = decode_rollout_report(encode(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->from, report.from);
    EXPECT_EQ(read->started, report.started);
    EXPECT_EQ(read->seen, report.seen);
    const auto word = word_of(0.25, 8);
    const auto heard = decode_rollout_directive(encode(word));
    ASSERT_TRUE(heard);
    EXPECT_EQ(heard->order, word.order);
    EXPECT_EQ(heard->share, word.share);
    EXPECT_EQ(heard->sequence, word.sequence);
}

// They share a socket with the other datagrams between hosts.
TEST(rollout_message, is_told_by_its_first_bytes)
{
    EXPECT_EQ(format_of(encode(word_of(0.5, 1))),
              datagram_format::rollout_word);
    EXPECT_EQ(format_of(encode(rollout_report{})),
              datagram_format::rollout_report);
}

TEST(rollout_message, bytes_that_are_no_message_are_left)
{
    EXPECT_FALSE(decode_rollout_directive("x"));
    EXPECT_FALSE(decode_rollout_report(encode(word_of(0.5, 1))));
    auto word = word_of(7, 1);
    EXPECT_FALSE(decode_rollout_directive(encode(word)));
}

} // namespace
} // namespace daleshelf
