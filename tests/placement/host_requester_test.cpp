#include <gtest/gtest.h>

#include <placement/host_requester.hpp>

namespace daleshelf
{
namespace
{

using kind = host_request_action::kind;

class requester : public testing::Test
{
protected:
    std::optional<host_request_action> wait(absl::Duration time)
    {
        const auto end = m_now + time;
        while (m_now < end)
        {
            m_now += absl::Milliseconds(500);
            if (auto action = m_requester.on_tick(true, m_now))
            {
                return action;
            }
        }
        return std::nullopt;
    }

    host_requester m_requester{hall_id("a"), "s", host_request_options(), 1};
    absl::Time m_now = absl::UnixEpoch();
};

TEST_F(requester, asks_for_a_reclaimable_host_first_and_one_at_a_time)
{
    const auto action = wait(absl::Seconds(10));
    ASSERT_TRUE(action.has_value());
    EXPECT_EQ(kind::order, action->what);
    EXPECT_TRUE(action->is_reclaimable);
    EXPECT_FALSE(wait(absl::Minutes(1)).has_value());
    m_requester.on_started(m_now);
    EXPECT_FALSE(wait(absl::Minutes(2)).has_value());
}

TEST_F(requester, asks_for_one_on_demand_when_none_can_be_reclaimed)
{
    (void)wait(absl::Seconds(10));
    m_requester.on_refused(m_now);
    const auto action = wait(absl::Minutes(2));
    ASSERT_TRUE(action.has_value());
    EXPECT_FALSE(action->is_reclaimable);
}

TEST_F(requester, looks_up_an_order_whose_answer_was_lost)
{
    const auto order = wait(absl::Seconds(10));
    m_requester.on_unknown(m_now);
    const auto look_up = wait(absl::Minutes(2));
    ASSERT_TRUE(look_up.has_value());
    EXPECT_EQ(kind::look_up, look_up->what);
    EXPECT_EQ(order->token, look_up->token);
    m_requester.on_started(m_now);
    EXPECT_FALSE(wait(absl::Minutes(2)).has_value()) << "not ordered again";
}

TEST_F(requester, orders_again_only_what_the_look_up_did_not_find)
{
    const auto first = wait(absl::Seconds(10));
    m_requester.on_unknown(m_now);
    (void)wait(absl::Minutes(2));
    m_requester.on_absent(m_now);
    const auto second = wait(absl::Minutes(2));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(kind::order, second->what);
    EXPECT_NE(first->token, second->token);
}

TEST_F(requester, does_not_ask_for_a_shortage_that_has_passed)
{
    for (int i = 0; i < 100; ++i)
    {
        m_now += absl::Seconds(1);
        EXPECT_FALSE(m_requester.on_tick(i % 2 == 0, m_now).has_value());
    }
}

} // namespace
} // namespace daleshelf
