#include "gateway_fixture.hpp"

#include <gateway/quota_service.hpp>

namespace daleshelf
{
namespace
{

const workspace_id studio("studio");
const host_id keeper("keeper");
const hall_id hall("here");

/// A host that is stopping keeps no quota of its own and asks the keeper.
shared_quota asking_quota()
{
    shared_quota quota(host_id("self"), hall, incarnation(1), quota_options());
    ingress_tenant workspace;
    workspace.name = studio;
    workspace.limit = {1000, 1000};
    quota.set_limits({workspace});
    quota.fleet().update(keeper, hall, incarnation(1), false,
                         gateway_state::now());
    quota.stop();
    return quota;
}

/// Runs the service on its own event loop.
class quota_service_test : public testing::Test
{
protected:
    std::optional<quota_verdict> take(double cost)
    {
        std::optional<quota_verdict> taken;
        asio::co_spawn(
            m_context,
            [this, cost, &taken]() -> awaitable<void>
            {
                auto verdict = co_await m_service.take(studio, cost);
                taken = std::move(verdict);
            },
            asio::detached);
        m_context.restart();
        m_context.run();
        return taken;
    }

    asio::io_context m_context;
    quota_service m_service{m_context, asking_quota()};
};

TEST_F(quota_service_test, waits_for_the_grant_of_the_keeper)
{
    m_service.set_sender(
        [this](const host_id& to, const std::string& bytes)
        {
            EXPECT_EQ(to, keeper);
            auto grant = *decode_quota_message(bytes);
            grant.kind = quota_message_kind::grant;
            grant.from = keeper;
            grant.in_reply_to = grant.sequence;
            asio::post(m_context, [this, grant]
                       { EXPECT_EQ(m_service.receive(grant), ""); });
        });
    const auto verdict = take(100);
    ASSERT_TRUE(verdict);
    EXPECT_TRUE(verdict->is_within) << verdict->explanation;
}

TEST_F(quota_service_test, rejects_when_only_part_of_the_cost_is_granted)
{
    m_service.set_sender(
        [this](const host_id&, const std::string& bytes)
        {
            auto grant = *decode_quota_message(bytes);
            grant.kind = quota_message_kind::grant;
            grant.from = keeper;
            grant.in_reply_to = grant.sequence;
            grant.amount /= 2;
            asio::post(m_context,
                       [this, grant] { (void)m_service.receive(grant); });
        });
    const auto verdict = take(100);
    ASSERT_TRUE(verdict);
    EXPECT_FALSE(verdict->is_within);
    EXPECT_NE(verdict->explanation.find("collected 50, asked 1, answered 1"),
              std::string::npos)
        << verdict->explanation;
}

TEST_F(quota_service_test, an_unresponsive_keeper_does_not_block_requests)
{
    const auto verdict = take(100);
    ASSERT_TRUE(verdict);
    EXPECT_FALSE(verdict->is_within);
    EXPECT_NE(verdict->explanation.find("asked 1, answered 0"),
              std::string::npos)
        << verdict->explanation;
}

TEST_F(quota_service_test, responds_to_requests_of_peers)
{
    quota_message ask;
    ask.kind = quota_message_kind::grant_request;
    ask.from = keeper;
    ask.hall = hall;
    ask.sequence = 5;
    ask.workspace = studio;
    ask.amount = 10;
    const auto grant = decode_quota_message(m_service.receive(ask));
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant->kind, quota_message_kind::grant);
    EXPECT_EQ(grant->in_reply_to, 5);
    EXPECT_EQ(grant->amount, 0) << "nothing was granted to this host";
}

class quota_path : public gateway_fixture
{
};

TEST_F(quota_path, a_workspace_over_its_quota_gets_a_retry_delay)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            for (auto request = connection.read_message(); !request.empty();
                 request = connection.read_message())
            {
                connection.send(make_response(id_of(request), "good"));
            }
        });
    configure();
    limit_tenant({10, 2});
    add_server("s", server);
    on_loop(
        [&]
        {
            auto& quota = m_state.quota.shared();
            const auto now = gateway_state::now();
            quota.record_fleet_discovery(true, now - absl::Seconds(2));
            (void)quota.tick(now - absl::Seconds(1));
            (void)quota.tick(now);
        });
    int served = 0;
    std::string refusal;
    constexpr int request_limit = 40;
    for (int number = 0; number < request_limit && refusal.empty(); ++number)
    {
        const auto answer = fetch("/own/x", std::to_string(number));
        served += answer.ends_with("good") ? 1 : 0;
        refusal = answer.ends_with("good") ? "" : answer;
    }
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 429 ")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    // The pool of this limit holds the cost of three requests; the fourth
    // overdraws it.
    EXPECT_EQ(served, 4);
}

} // namespace
} // namespace daleshelf
