#include <gtest/gtest.h>

#include <peers/peer_table.hpp>

namespace daleshelf
{
namespace
{

absl::Time at(double second)
{
    return absl::UnixEpoch() + absl::Seconds(second);
}

class news_source_test : public testing::Test
{
protected:
    void hear(const std::string& name, std::int64_t version,
              std::int64_t servers, double second,
              const std::string& hall = "north")
    {
        machine_state state;
        state.self = {host_id(name), name + ":1"};
        state.hall = hall_id(hall);
        state.started = incarnation(1);
        state.sequence = ++m_sequence;
        state.configuration_version = version;
        state.servers_offset = log_offset(servers);
        ASSERT_TRUE(table.receive(state, at(second)).is_news);
    }

    peer_table table{
        {host_id("self"), "self:1", hall_id("north")}, incarnation(1), {}};
    const known_records own{3, log_offset(10)};

private:
    std::int64_t m_sequence = 0;
};

TEST_F(news_source_test, nobody_is_asked_for_what_is_known)
{
    hear("a", 3, 10, 1);
    EXPECT_FALSE(table.source_of_news(own, at(1)));
}

// The others may have died since.
TEST_F(news_source_test, the_peer_heard_last_is_asked)
{
    hear("a", 4, 10, 1);
    hear("b", 4, 10, 1.2);
    hear("c", 4, 10, 1.1);
    const auto source = table.source_of_news(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->topic, shared_topic::configuration);
    EXPECT_EQ(source->address, "b:1");
}

// Whole lists between halls cost more than all else that hosts send.
TEST_F(news_source_test, a_peer_of_the_own_hall_goes_before_others)
{
    hear("a", 3, 11, 1);
    hear("b", 3, 11, 1.2, "south");
    auto source = table.source_of_news(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->address, "a:1");
    // Not if another hall has the configuration that this one lacks.
    hear("c", 4, 11, 1, "south");
    source = table.source_of_news(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->address, "c:1");
}

TEST_F(news_source_test, a_peer_out_of_reach_is_not_asked)
{
    hear("a", 4, 10, 1);
    EXPECT_FALSE(table.source_of_news(own, at(60)));
}

TEST_F(news_source_test, the_configuration_goes_before_the_list_of_servers)
{
    hear("a", 3, 11, 1.2);
    hear("b", 4, 10, 1);
    auto source = table.source_of_news(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->address, "b:1");
    source = table.source_of_news({4, log_offset(10)}, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->topic, shared_topic::servers);
    EXPECT_EQ(source->address, "a:1");
}

} // namespace
} // namespace daleshelf
