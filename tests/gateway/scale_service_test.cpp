#include <gtest/gtest.h>

#include <gateway/scale_service.hpp>
#include <gateway/topic_follower.hpp>

namespace daleshelf
{
namespace
{

gateway_settings make_settings(bool orders_servers)
{
    gateway_settings settings;
    settings.host_id = "gateway";
    settings.host_hall = "here";
    settings.peers_address = "127.0.0.1:0";
    settings.store_address = "127.0.0.1:1";
    settings.duties_address = "127.0.0.1:1";
    settings.orders_servers = orders_servers;
    return settings;
}

/// The components of a gateway that order upstreams, and nothing else.
class scaling_components
{
public:
    explicit scaling_components(bool orders_servers)
        : m_state(m_context, make_settings(orders_servers))
    {
    }

    /// @return whether a timer is pending after the start
    bool is_busy_after_start()
    {
        m_scaling.start();
        m_context.poll();
        return !m_context.stopped();
    }

private:
    asio::io_context m_context{1};
    gateway_state m_state;
    topic_follower m_configuration{
        m_state, "configuration", {[](const auto&) {}, [](const auto&) {}}};
    topic_follower m_servers{
        m_state, "servers", {[](const auto&) {}, [](const auto&) {}}};
    peer_exchange m_peers{m_state, {m_configuration, m_servers}};
    duty_service m_duties{m_state, m_peers};
    scale_service m_scaling{m_state, m_peers, m_duties};
};

TEST(scale_service, orders_servers_only_if_enabled)
{
    EXPECT_TRUE(scaling_components(true).is_busy_after_start());
    EXPECT_FALSE(scaling_components(false).is_busy_after_start());
}

} // namespace
} // namespace daleshelf
