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

rollout_directive directive_of(double share, std::int64_t sequence,
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
    int count_picked(int count, double second)
    {
        int target = 0;
        for (int number = 0; number < count; ++number)
        {
            target += participant.pick_target(engines, at(second)) ? 1 : 0;
        }
        return target;
    }

    version_gate gate;
    rollout_participant participant{host_id("host"), incarnation(1), gate};
};

TEST_F(rollout_participant_test,
       without_a_directive_the_target_gets_no_requests)
{
    EXPECT_EQ(count_picked(1000, 1), 0);
}

TEST_F(rollout_participant_test, the_target_gets_the_share_and_one_more_at_most)
{
    EXPECT_TRUE(participant.apply(directive_of(0.05, 1), at(1)));
    const auto target = count_picked(1000, 1);
    EXPECT_GE(target, 50);
    EXPECT_LE(target, 51);
}

// The host is partitioned from the duty holder, or the holder has crashed.
TEST_F(rollout_participant_test, a_directive_expires)
{
    participant.apply(directive_of(0.5, 1), at(1));
    EXPECT_GT(count_picked(10, 2), 0);
    EXPECT_EQ(count_picked(10, 2.3), 0);
}

TEST_F(rollout_participant_test,
       outdated_directives_and_those_of_an_earlier_holder_are_ignored)
{
    EXPECT_TRUE(participant.apply(directive_of(0, 2, 7), at(1)));
    EXPECT_FALSE(participant.apply(directive_of(0.5, 1, 7), at(1)));
    EXPECT_FALSE(participant.apply(directive_of(0.5, 9, 6), at(1)));
    EXPECT_EQ(count_picked(10, 1), 0);
}

TEST_F(rollout_participant_test, a_directive_for_an_unknown_order_is_ignored)
{
    auto directive = directive_of(0.5, 1);
    directive.order = log_offset(9);
    EXPECT_FALSE(participant.apply(directive, at(1)));
}

TEST_F(rollout_participant_test, a_directive_with_a_final_phase_ends_the_order)
{
    participant.apply(directive_of(1, 1), at(1));
    auto directive = directive_of(0, 2);
    directive.phase = rollout_phase::rolled_back;
    EXPECT_TRUE(participant.apply(directive, at(1)));
    EXPECT_EQ(count_picked(10, 1), 0);
    EXPECT_FALSE(participant.report(engines));
    EXPECT_EQ(gate.phase_of(engines), rollout_phase::rolled_back);
}

TEST_F(rollout_participant_test, reports_the_responses_of_both_versions)
{
    participant.record_sent(engines, old_version);
    participant.record_sent(engines, new_version);
    participant.record_response(engines, old_version, "r", {});
    EXPECT_FALSE(participant.has_unreported_responses(engines));
    participant.record_response(engines, new_version, "r", {true, 0, 0});
    EXPECT_TRUE(participant.has_unreported_responses(engines));
    const auto report = participant.report(engines);
    ASSERT_TRUE(report);
    EXPECT_FALSE(participant.has_unreported_responses(engines));
    EXPECT_EQ(report->statistics.sent_old, 1);
    EXPECT_EQ(report->statistics.sent_target, 1);
    EXPECT_EQ(report->statistics.target.at("r").failures, 1);
    EXPECT_EQ(report->statistics.old_version.at("r").failures, 0);
}

TEST_F(rollout_participant_test, a_later_order_starts_with_empty_statistics)
{
    participant.record_sent(engines, old_version);
    gate.set_order(
        {engines, version_name("v3"), absl::Seconds(9), log_offset(8)});
    const auto report = participant.report(engines);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->order, log_offset(8));
    EXPECT_EQ(report->statistics, rollout_statistics());
}

TEST(rollout_message, is_equal_after_a_round_trip)
{
    rollout_report report{
        host_id("a"), incarnation(3), engines, order_offset, {}};
    report.statistics.sent_old = 40;
    report.statistics.sent_target = 2;
    report.statistics.old_version["r"].add({false, 120, 25});
    report.statistics.target["r"].add({true, 0, 0});
    const auto decoded_report = decode_rollout_report(encode(report));
    ASSERT_TRUE(decoded_report);
    EXPECT_EQ(decoded_report->sender, report.sender);
    EXPECT_EQ(decoded_report->sender_incarnation, report.sender_incarnation);
    EXPECT_EQ(decoded_report->statistics, report.statistics);
    const auto directive = directive_of(0.25, 8);
    const auto decoded_directive = decode_rollout_directive(encode(directive));
    ASSERT_TRUE(decoded_directive);
    EXPECT_EQ(decoded_directive->order, directive.order);
    EXPECT_EQ(decoded_directive->share, directive.share);
    EXPECT_EQ(decoded_directive->sequence, directive.sequence);
}

// Datagrams of all formats share one socket.
TEST(rollout_message, format_is_detected_from_the_first_bytes)
{
    EXPECT_EQ(format_of(encode(directive_of(0.5, 1))),
              datagram_format::rollout_word);
    EXPECT_EQ(format_of(encode(rollout_report{})),
              datagram_format::rollout_report);
}

TEST(rollout_message, invalid_bytes_are_rejected)
{
    EXPECT_FALSE(decode_rollout_directive("x"));
    EXPECT_FALSE(decode_rollout_report(encode(directive_of(0.5, 1))));
    auto directive = directive_of(7, 1);
    EXPECT_FALSE(decode_rollout_directive(encode(directive)));
}

} // namespace
} // namespace daleshelf
