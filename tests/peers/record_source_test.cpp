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

class record_source_test : public testing::Test
{
protected:
    void receive_state(const std::string& name, std::int64_t version,
                       std::int64_t servers, double second,
                       const std::string& hall = "north")
    {
        host_state state;
        state.self = {host_id(name), name + ":1"};
        state.hall = hall_id(hall);
        state.started = incarnation(1);
        state.sequence = ++m_sequence;
        state.configuration_version = version;
        state.servers_offset = log_offset(servers);
        ASSERT_TRUE(table.receive(state, at(second)).is_newer);
    }

    peer_table table{
        {host_id("self"), "self:1", hall_id("north")}, incarnation(1), {}};
    const topic_positions own{3, log_offset(10)};

private:
    std::int64_t m_sequence = 0;
};

TEST_F(record_source_test, nobody_is_asked_for_what_is_known)
{
    receive_state("a", 3, 10, 1);
    EXPECT_FALSE(table.source_of_newer_records(own, at(1)));
}

// The peer heard most recently is the least likely to have crashed since.
TEST_F(record_source_test, the_peer_heard_last_is_asked)
{
    receive_state("a", 4, 10, 1);
    receive_state("b", 4, 10, 1.2);
    receive_state("c", 4, 10, 1.1);
    const auto source = table.source_of_newer_records(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->topic, shared_topic::configuration);
    EXPECT_EQ(source->address, "b:1");
}

// Full lists fetched across halls cost more bandwidth than all other traffic.
TEST_F(record_source_test, a_peer_of_the_own_hall_goes_before_others)
{
    receive_state("a", 3, 11, 1);
    receive_state("b", 3, 11, 1.2, "south");
    auto source = table.source_of_newer_records(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->address, "a:1");
    // A peer of another hall with a newer configuration goes first.
    receive_state("c", 4, 11, 1, "south");
    source = table.source_of_newer_records(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->address, "c:1");
}

TEST_F(record_source_test, a_peer_out_of_reach_is_not_asked)
{
    receive_state("a", 4, 10, 1);
    EXPECT_FALSE(table.source_of_newer_records(own, at(60)));
}

TEST_F(record_source_test, the_configuration_goes_before_the_list_of_servers)
{
    receive_state("a", 3, 11, 1.2);
    receive_state("b", 4, 10, 1);
    auto source = table.source_of_newer_records(own, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->address, "b:1");
    source = table.source_of_newer_records({4, log_offset(10)}, at(1.3));
    ASSERT_TRUE(source);
    EXPECT_EQ(source->topic, shared_topic::servers);
    EXPECT_EQ(source->address, "a:1");
}

} // namespace
} // namespace daleshelf
