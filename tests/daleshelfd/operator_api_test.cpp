#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <atomic>
#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <daleshelfd/configuration_follower.hpp>
#include <daleshelfd/control_thread.hpp>
#include <daleshelfd/node_state.hpp>
#include <daleshelfd/operator_api.hpp>
#include <daleshelfd/peer_service.hpp>
#include <http/http_client.hpp>
#include <http/http_server.hpp>
#include <platform/log_client.hpp>
#include <vector>

namespace daleshelf
{
namespace
{

constexpr auto address = "127.0.0.1";
constexpr auto token = "secret";

/// An operator's interface without the rest of a daemon.
class operator_server
{
public:
    explicit operator_server(std::function<void()> on_drain)
        : m_node(host_id("host"), hall_id("hall"))
        , m_log(m_client, "http://127.0.0.1:1")
        , m_peers(m_control, m_node, {address, 0, host_id("host")}, {},
                  [](const host_id&) {})
        , m_follower(m_control, m_node, m_log, m_peers, "stream")
        , m_api(m_node, m_follower, m_peers, {sha256_hex(token), false},
                std::move(on_drain))
        , m_server(http_server::create(
              {address, 0},
              [this](const std::shared_ptr<http_exchange>& exchange)
              { m_api.handle(exchange); }))
    {
    }
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    ~operator_server()
    {
        m_server.reset();
        m_client.stop();
        m_peers.stop();
    }

    http_response send(const std::string& method, const std::string& path)
    {
        http_client client;
        http_client_request request;
        request.method = method;
        request.url =
            "http://127.0.0.1:" + std::to_string(m_server->port()) + path;
        request.headers = {{"Authorization", std::string("Bearer ") + token}};
        return client.fetch(std::move(request));
    }

private:
    node_state m_node;
    http_client m_client;
    log_client m_log;
    control_thread m_control;
    peer_service m_peers;
    configuration_follower m_follower;
    operator_api m_api;
    std::unique_ptr<http_server> m_server;
};

// Regression: an idle process ended before it had sent the response to the
// operator who drained it.
TEST(operator_api, starts_a_drain_after_its_response_was_sent)
{
    absl::Notification has_response;
    absl::Notification has_drained;
    std::atomic<bool> was_response_first = false;
    operator_server server(
        [&]
        {
            // Bounds a hang: a response that follows the drain cannot arrive.
            was_response_first =
                has_response.WaitForNotificationWithTimeout(absl::Seconds(5));
            has_drained.Notify();
        });
    const auto response = server.send("POST", "/apis/v1/drain");
    has_response.Notify();
    EXPECT_EQ(http_status::accepted, response.status);
    EXPECT_EQ(R"({"draining":true})", response.body);
    has_drained.WaitForNotification();
    EXPECT_TRUE(was_response_first);
}

} // namespace
} // namespace daleshelf
