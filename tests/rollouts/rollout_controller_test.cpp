#include <gtest/gtest.h>

#include <rollouts/rollout_controller.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const rollout_order order{engines, version_name("v2"), absl::Seconds(14),
                          log_offset(5)};
const exposure_bound bound{0.1, 50};
constexpr double requests_a_second = 160;

absl::Time at(double second)
{
    return absl::UnixEpoch() + absl::Seconds(second);
}

/// A fleet as one host that does at once what the holder lets it do.
class played_order
{
public:
    explicit played_order(double part_failing, double failing_from = 0)
        : m_part_failing(part_failing), m_failing_from(failing_from)
    {
    }

    void play(double seconds)
    {
        for (double second = 0; second < seconds && !end; second += 0.25)
        {
            plan.take(
                {host_id("a"), incarnation(1), engines, order.offset, seen});
            const auto step = plan.next(at(second));
            end = step.end;
            ended_at = second;
            reason = step.reason;
            send(step.share, second);
        }
    }

    rollout_controller plan{order, at(0), bound};
    rollout_statistics seen;
    std::optional<rollout_phase> end;
    double ended_at = 0;
    std::string reason;
    double exposed_in_time = 0;
    double sent_in_time = 0;

private:
    void send(double share, double second)
    {
        m_credit += requests_a_second / 4 * share;
        const auto target = static_cast<int>(m_credit);
        m_credit -= target;
        const auto old_version =
            static_cast<int>(requests_a_second / 4) - target;
        seen.sent_target += target;
        seen.sent_old += old_version;
        if (second < 14)
        {
            exposed_in_time += target;
            sent_in_time += requests_a_second / 4;
        }
        for (int number = 0; number < old_version; ++number)
        {
            seen.old_version["r"].add({false, 100, 25});
        }
        for (int number = 0; number < target; ++number)
        {
            m_failing += second >= m_failing_from ? m_part_failing : 0;
            const bool is_failure = m_failing >= 1;
            m_failing -= is_failure ? 1 : 0;
            seen.target["r"].add({is_failure, 100, 25});
        }
    }

    double m_part_failing;
    double m_failing_from;
    double m_credit = 0;
    double m_failing = 0;
};

TEST(rollout_controller,
     a_good_version_is_completed_shortly_before_the_deadline)
{
    played_order played(0);
    played.play(20);
    EXPECT_EQ(played.end, rollout_phase::completed);
    EXPECT_GT(played.ended_at, 12.5);
    EXPECT_LT(played.ended_at, 14);
}

TEST(rollout_controller, a_bad_version_is_taken_back_within_seconds)
{
    played_order played(0.4);
    played.play(20);
    EXPECT_EQ(played.end, rollout_phase::rolled_back);
    EXPECT_LT(played.ended_at, 4);
    EXPECT_LT(played.seen.target.at("r").failures, 50);
}

TEST(rollout_controller, one_that_turns_bad_late_is_taken_back)
{
    played_order played(0.5, 9);
    played.play(20);
    EXPECT_EQ(played.end, rollout_phase::rolled_back);
    EXPECT_LT(played.ended_at, 12);
}

// Whatever it does in the last second.
TEST(rollout_controller,
     what_turns_bad_as_all_move_to_it_stays_within_the_bound)
{
    for (const double from : {0.0, 6.0, 12.0, 13.0, 13.5})
    {
        played_order played(0.1, from);
        played.play(20);
        EXPECT_LE(played.exposed_in_time,
                  played.sent_in_time * bound.share + bound.slack)
            << from;
    }
}

// Nobody reports, or the version's servers have not come.
TEST(rollout_controller, a_version_of_which_nothing_is_seen_is_not_completed)
{
    rollout_controller plan(order, at(0), bound);
    for (double second = 0; second < 60; second += 0.25)
    {
        const auto step = plan.next(at(second));
        EXPECT_FALSE(step.end);
        EXPECT_LE(step.share, 0.05);
    }
}

TEST(rollout_controller, another_holder_goes_on_with_what_hosts_tell)
{
    played_order first(0);
    first.play(8);
    rollout_controller second(order, at(0), bound);
    second.take(
        {host_id("a"), incarnation(1), engines, order.offset, first.seen});
    EXPECT_FALSE(second.next(at(12)).end);
    EXPECT_EQ(second.seen(), first.seen);
    const auto step = second.next(at(13.9));
    EXPECT_EQ(step.share, 1);
}

TEST(rollout_controller, a_report_of_another_order_or_an_older_one_is_left)
{
    rollout_controller plan(order, at(0), bound);
    rollout_report report{
        host_id("a"), incarnation(1), engines, order.offset, {}};
    report.seen.sent_old = 9;
    plan.take(report);
    report.seen.sent_old = 4;
    plan.take(report);
    EXPECT_EQ(plan.seen().sent_old, 9);
    report.order = log_offset(2);
    report.seen.sent_old = 99;
    plan.take(report);
    EXPECT_EQ(plan.seen().sent_old, 9);
}

} // namespace
} // namespace daleshelf
