#include <gtest/gtest.h>

#include <ingress/link_monitor.hpp>
#include <string>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const service_name calls("calls");
constexpr std::size_t usable = 6;

class link_monitor_test : public testing::Test
{
protected:
    void fail(const service_name& service, int count)
    {
        for (int server = 0; server < count; ++server)
        {
            m_links.record_failed(service, upstream_id(std::to_string(server)),
                                  usable, m_now);
        }
    }

    void partition()
    {
        fail(engines, 3);
        m_links.record_relayed(engines, m_now);
    }

    absl::Time m_now = absl::UnixEpoch() + absl::Seconds(100);
    link_monitor m_links;
};

TEST_F(link_monitor_test, one_dead_upstream_is_no_cut)
{
    for (int request = 0; request < 10; ++request)
    {
        m_links.record_failed(engines, upstream_id("0"), usable, m_now);
    }
    EXPECT_FALSE(m_links.should_ask_peer(engines, m_now));
    EXPECT_EQ(m_links.path_to(engines), upstream_path::direct);
}

TEST_F(link_monitor_test, failures_interrupted_by_a_connection_are_no_cut)
{
    fail(engines, 2);
    m_links.record_connected(engines, m_now);
    fail(engines, 2);
    EXPECT_FALSE(m_links.should_ask_peer(engines, m_now));
}

TEST_F(link_monitor_test, upstreams_that_only_peers_reach_are_relayed)
{
    partition();
    EXPECT_TRUE(m_links.is_partitioned());
    EXPECT_EQ(m_links.path_to(engines), upstream_path::relayed);
    EXPECT_EQ(m_links.path_to(calls), upstream_path::relayed);
}

TEST_F(link_monitor_test, a_service_that_peers_cannot_reach_either_is_dead)
{
    m_links.record_connected(calls, m_now);
    fail(engines, 3);
    ASSERT_TRUE(m_links.should_ask_peer(engines, m_now));
    m_links.record_relay_failed(engines, upstream_id("0"), usable, m_now);
    EXPECT_FALSE(m_links.is_partitioned());
    EXPECT_EQ(m_links.path_to(engines), upstream_path::none);
    EXPECT_EQ(m_links.path_to(calls), upstream_path::direct);
}

TEST_F(link_monitor_test, a_probe_ends_the_rejection_of_an_unreachable_service)
{
    fail(engines, 3);
    m_links.record_no_relay(engines, m_now);
    EXPECT_EQ(m_links.path_to(engines), upstream_path::none);
    EXPECT_EQ(m_links.impaired_services().size(), 1);
    EXPECT_FALSE(m_links.record_probe(engines, false, m_now));
    EXPECT_EQ(m_links.path_to(engines), upstream_path::none);
    EXPECT_TRUE(m_links.record_probe(engines, true, m_now));
    EXPECT_EQ(m_links.path_to(engines), upstream_path::direct);
    EXPECT_TRUE(m_links.impaired_services().empty());
}

TEST_F(link_monitor_test, a_peer_ends_the_rejection_of_an_unreachable_service)
{
    fail(engines, 3);
    m_links.record_no_relay(engines, m_now);
    EXPECT_FALSE(m_links.should_probe_peers(engines, m_now));
    m_now += absl::Milliseconds(500);
    EXPECT_TRUE(m_links.should_probe_peers(engines, m_now));
    m_links.record_relayed(engines, m_now);
    EXPECT_EQ(m_links.path_to(engines), upstream_path::relayed);
}

TEST_F(link_monitor_test, a_service_that_still_responds_is_not_unreachable)
{
    fail(engines, 3);
    m_links.record_response(engines, m_now);
    m_links.record_relay_failed(engines, upstream_id("0"), usable, m_now);
    EXPECT_EQ(m_links.path_to(engines), upstream_path::direct);
}

TEST_F(link_monitor_test, peers_are_asked_less_often_when_they_do_not_help)
{
    fail(engines, 3);
    m_links.record_relay_failed(engines, upstream_id("0"), usable, m_now);
    EXPECT_FALSE(m_links.should_ask_peer(engines, m_now));
    m_now += absl::Milliseconds(500);
    EXPECT_TRUE(m_links.should_ask_peer(engines, m_now));
}

// Requests of the other service waited for connects that could not be made.
TEST_F(link_monitor_test, peers_are_asked_for_each_service)
{
    fail(engines, 3);
    m_links.record_no_relay(engines, m_now);
    fail(calls, 3);
    ASSERT_TRUE(m_links.should_ask_peer(calls, m_now));
    m_links.record_no_relay(calls, m_now);
    EXPECT_EQ(m_links.path_to(calls), upstream_path::none);
}

TEST_F(link_monitor_test, a_cut_of_one_service_is_no_partition)
{
    fail(engines, 3);
    m_links.record_connected(calls, m_now);
    m_links.record_relayed(engines, m_now);
    EXPECT_FALSE(m_links.is_partitioned());
    EXPECT_EQ(m_links.path_to(engines), upstream_path::relayed);
    EXPECT_EQ(m_links.path_to(calls), upstream_path::direct);
}

TEST_F(link_monitor_test, one_upstream_that_no_peer_reaches_ends_no_relaying)
{
    partition();
    m_now += absl::Seconds(5);
    m_links.record_relay_failed(engines, upstream_id("5"), usable, m_now);
    EXPECT_EQ(m_links.path_to(engines), upstream_path::relayed);
}

TEST_F(link_monitor_test, consecutive_probes_restore_direct_connections)
{
    partition();
    EXPECT_FALSE(m_links.record_probe(engines, true, m_now));
    EXPECT_FALSE(m_links.record_probe(engines, false, m_now));
    EXPECT_FALSE(m_links.record_probe(engines, true, m_now));
    EXPECT_TRUE(m_links.record_probe(engines, true, m_now));
    EXPECT_FALSE(m_links.is_partitioned());
    EXPECT_EQ(m_links.path_to(engines), upstream_path::direct);
}

TEST_F(link_monitor_test, old_failures_are_no_evidence)
{
    fail(engines, 2);
    m_now += absl::Seconds(3);
    m_links.record_failed(engines, upstream_id("5"), usable, m_now);
    EXPECT_FALSE(m_links.should_ask_peer(engines, m_now));
}

} // namespace
} // namespace daleshelf
