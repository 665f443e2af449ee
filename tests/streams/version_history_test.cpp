#include <gtest/gtest.h>

#include <streams/version_history.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const version_name first("v1");
const version_name second("v2");
constexpr absl::Duration span = absl::Seconds(20);

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

class version_history_test : public testing::Test
{
protected:
    void observe(const std::set<version_name>& listed, int from, int to)
    {
        for (int second = from; second <= to; ++second)
        {
            m_history.observe(engines, listed, at(second));
        }
    }

    version_history m_history{false};
};

TEST_F(version_history_test, the_only_version_is_known_after_the_span)
{
    observe({first}, 0, 19);
    EXPECT_FALSE(m_history.sole_version(engines, span, at(19)));
    observe({first}, 20, 20);
    EXPECT_EQ(m_history.sole_version(engines, span, at(20)), first);
    EXPECT_FALSE(m_history.sole_version(service_name("x"), span, at(20)));
}

TEST_F(version_history_test, a_version_that_was_listed_counts_for_the_span)
{
    observe({first}, 0, 30);
    observe({first, second}, 31, 31);
    EXPECT_FALSE(m_history.sole_version(engines, span, at(31)));
    observe({second}, 32, 51);
    EXPECT_FALSE(m_history.sole_version(engines, span, at(51)));
    EXPECT_TRUE(m_history.has_other(engines, second, span, at(51)));
    observe({second}, 52, 52);
    EXPECT_EQ(m_history.sole_version(engines, span, at(52)), second);
    EXPECT_FALSE(m_history.has_other(engines, second, span, at(52)));
}

// A version may have come and gone while the host was suspended.
TEST_F(version_history_test, a_gap_ends_what_is_known)
{
    observe({first}, 0, 30);
    EXPECT_FALSE(m_history.sole_version(engines, span, at(33)));
    observe({first}, 33, 52);
    EXPECT_FALSE(m_history.sole_version(engines, span, at(52)));
    observe({first}, 53, 53);
    EXPECT_EQ(m_history.sole_version(engines, span, at(53)), first);
}

TEST_F(version_history_test, a_restart_ends_what_is_known)
{
    observe({first}, 0, 30);
    m_history.restart(at(30));
    EXPECT_FALSE(m_history.sole_version(engines, span, at(30)));
    observe({first}, 31, 50);
    EXPECT_EQ(m_history.sole_version(engines, span, at(50)), first);
}

TEST(version_history, no_stream_is_older_than_the_fleet)
{
    version_history history(true);
    history.observe(engines, {first}, at(0));
    EXPECT_EQ(history.sole_version(engines, span, at(0)), first);
    history.observe(engines, {first, second}, at(1));
    EXPECT_FALSE(history.sole_version(engines, span, at(1)));
}

TEST_F(version_history_test, several_versions_are_remembered_while_resumable)
{
    observe({first}, 0, 10);
    EXPECT_FALSE(m_history.has_several());
    observe({first, second}, 11, 11);
    EXPECT_TRUE(m_history.has_several());
    observe({second}, 12, 71);
    EXPECT_TRUE(m_history.has_several());
    observe({second}, 72, 72);
    EXPECT_FALSE(m_history.has_several());
}

} // namespace
} // namespace daleshelf
