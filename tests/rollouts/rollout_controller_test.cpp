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
constexpr double requests_per_second = 160;

absl::Time at(double second)
{
    return absl::UnixEpoch() + absl::Seconds(second);
}

/// Models the fleet as one host that applies each step immediately.
class simulated_order
{
public:
    explicit simulated_order(double failure_rate, double failing_from = 0)
        : m_failure_rate(failure_rate), m_failing_from(failing_from)
    {
    }

    void run(double seconds)
    {
        for (double second = 0; second < seconds && !final_phase;
             second += 0.25)
        {
            controller.add_report({host_id("a"), incarnation(1), engines,
                                   order.offset, statistics});
            const auto step = controller.next_step(at(second));
            final_phase = step.final_phase;
            ended_at = second;
            reason = step.reason;
            send(step.share, second);
        }
    }

    rollout_controller controller{order, at(0), bound};
    rollout_statistics statistics;
    std::optional<rollout_phase> final_phase;
    double ended_at = 0;
    std::string reason;
    double exposed_in_time = 0;
    double sent_in_time = 0;

private:
    void send(double share, double second)
    {
        m_credit += requests_per_second / 4 * share;
        const auto target = static_cast<int>(m_credit);
        m_credit -= target;
        const auto old_version =
            static_cast<int>(requests_per_second / 4) - target;
        statistics.sent_target += target;
        statistics.sent_old += old_version;
        if (second < 14)
        {
            exposed_in_time += target;
            sent_in_time += requests_per_second / 4;
        }
        for (int number = 0; number < old_version; ++number)
        {
            statistics.old_version["r"].add({false, 100, 25});
        }
        for (int number = 0; number < target; ++number)
        {
            m_failure_credit += second >= m_failing_from ? m_failure_rate : 0;
            const bool is_failure = m_failure_credit >= 1;
            m_failure_credit -= is_failure ? 1 : 0;
            statistics.target["r"].add({is_failure, 100, 25});
        }
    }

    double m_failure_rate;
    double m_failing_from;
    double m_credit = 0;
    double m_failure_credit = 0;
};

TEST(rollout_controller,
     a_good_version_is_completed_shortly_before_the_deadline)
{
    simulated_order simulated(0);
    simulated.run(20);
    EXPECT_EQ(simulated.final_phase, rollout_phase::completed);
    EXPECT_GT(simulated.ended_at, 12.5);
    EXPECT_LT(simulated.ended_at, 14);
}

TEST(rollout_controller, a_bad_version_is_rolled_back_within_seconds)
{
    simulated_order simulated(0.4);
    simulated.run(20);
    EXPECT_EQ(simulated.final_phase, rollout_phase::rolled_back);
    EXPECT_LT(simulated.ended_at, 4);
    EXPECT_LT(simulated.statistics.target.at("r").failures, 50);
}

TEST(rollout_controller, a_version_that_turns_bad_late_is_rolled_back)
{
    simulated_order simulated(0.5, 9);
    simulated.run(20);
    EXPECT_EQ(simulated.final_phase, rollout_phase::rolled_back);
    EXPECT_LT(simulated.ended_at, 12);
}

// The bound holds even if the version turns bad in the last second.
TEST(rollout_controller,
     a_target_that_turns_bad_at_any_time_stays_within_the_bound)
{
    for (const double from : {0.0, 6.0, 12.0, 13.0, 13.5})
    {
        simulated_order simulated(0.1, from);
        simulated.run(20);
        EXPECT_LE(simulated.exposed_in_time,
                  simulated.sent_in_time * bound.share + bound.slack)
            << from;
    }
}

// No host reports, or no upstream of the version has started.
TEST(rollout_controller, a_version_without_responses_is_not_completed)
{
    rollout_controller controller(order, at(0), bound);
    for (double second = 0; second < 60; second += 0.25)
    {
        const auto step = controller.next_step(at(second));
        EXPECT_FALSE(step.final_phase);
        EXPECT_LE(step.share, 0.05);
    }
}

TEST(rollout_controller, another_holder_continues_from_the_reports)
{
    simulated_order first(0);
    first.run(8);
    rollout_controller second(order, at(0), bound);
    second.add_report({host_id("a"), incarnation(1), engines, order.offset,
                       first.statistics});
    EXPECT_FALSE(second.next_step(at(12)).final_phase);
    EXPECT_EQ(second.statistics(), first.statistics);
    const auto step = second.next_step(at(13.9));
    EXPECT_EQ(step.share, 1);
}

TEST(rollout_controller, reports_of_another_order_and_outdated_ones_are_ignored)
{
    rollout_controller controller(order, at(0), bound);
    rollout_report report{
        host_id("a"), incarnation(1), engines, order.offset, {}};
    report.statistics.sent_old = 9;
    controller.add_report(report);
    report.statistics.sent_old = 4;
    controller.add_report(report);
    EXPECT_EQ(controller.statistics().sent_old, 9);
    report.order = log_offset(2);
    report.statistics.sent_old = 99;
    controller.add_report(report);
    EXPECT_EQ(controller.statistics().sent_old, 9);
}

} // namespace
} // namespace daleshelf
