#include "gateway_fixture.hpp"

#include <gtest/gtest.h>

#include <base/text.hpp>
#include <gateway/rollout_service.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const log_offset order_offset(7);

gateway_settings make_settings(const std::string& store)
{
    gateway_settings settings;
    settings.host_id = "gateway";
    settings.host_hall = "here";
    settings.peers_address = "127.0.0.1:0";
    settings.store_address = store;
    settings.duties_address = "127.0.0.1:1";
    return settings;
}

// The statuses of two roll-outs, in base64: `{}`, which is invalid, and
// `{"state":"completed","targetVersion":"v2","order":7,"orderedAtMs":1}`.
constexpr const char* statuses =
    R"({"items":[{"privateKey":"rollout/another","value":"e30=","offset":0},)"
    R"({"privateKey":"rollout/engines","value":"eyJzdGF0ZSI6ImNvbXBsZXRlZCIs)"
    R"(InRhcmdldFZlcnNpb24iOiJ2MiIsIm9yZGVyIjo3LCJvcmRlcmVkQXRNcyI6MX0=",)"
    R"("offset":1}],"more":false,"end":2})";

// Sends one response per connection; the client would wait on an open one.
void respond_with_statuses(test_connection& connection)
{
    if (connection.read_message().empty())
    {
        return;
    }
    const std::string body = statuses;
    connection.send(concat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
                           "\r\n\r\n", body));
}

/// The components of a gateway that execute roll-outs, and nothing else.
class rollout_components
{
public:
    explicit rollout_components(const std::string& store)
        : m_state(m_context, make_settings(store))
    {
        auto& versions = m_state.servers.versions();
        versions.set_order(
            {engines, version_name("v2"), absl::Seconds(14), order_offset});
    }

    /// Runs until the order has finished or the event loop has no work left.
    void run_until_finished()
    {
        m_rollouts.start();
        bool is_busy = true;
        while (is_busy && phase() == rollout_phase::running)
        {
            is_busy = m_context.run_one() > 0;
        }
    }

    [[nodiscard]] std::optional<rollout_phase> phase() const
    {
        return m_state.servers.versions().phase_of(engines);
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
    rollout_service m_rollouts{m_state, m_peers, m_duties};
};

// A starting host reads the outcome of an order. A status that cannot be parsed
// must neither hide the other statuses nor stop the roll-out service.
TEST(rollout_service, an_unreadable_status_hides_no_other)
{
    const scripted_server store(respond_with_statuses);
    rollout_components parts(store.address());
    parts.run_until_finished();
    EXPECT_EQ(parts.phase(), rollout_phase::completed);
}

} // namespace
} // namespace daleshelf
