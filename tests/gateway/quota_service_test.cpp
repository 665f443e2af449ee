#include "gateway_fixture.hpp"

#include <gateway/quota_service.hpp>

namespace daleshelf
{
namespace
{

const workspace_id studio("studio");
const host_id keeper("keeper");
const hall_id hall("here");

/// A host that stops keeps no pool itself: it asks the keeper.
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

/// The service on a loop of the test's own.
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
    EXPECT_TRUE(verdict->is_within) << verdict->how;
}

TEST_F(quota_service_test, a_part_that_is_granted_is_not_enough)
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
    EXPECT_NE(verdict->how.find("collected 50, asked 1, answered 1"),
              std::string::npos)
        << verdict->how;
}

TEST_F(quota_service_test, a_keeper_that_does_not_answer_ends_no_wait_for_good)
{
    const auto verdict = take(100);
    ASSERT_TRUE(verdict);
    EXPECT_FALSE(verdict->is_within);
    EXPECT_NE(verdict->how.find("asked 1, answered 0"), std::string::npos)
        << verdict->how;
}

TEST_F(quota_service_test, answers_the_asks_of_others)
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
    EXPECT_EQ(grant->amount, 0) << "nobody gave it anything";
}

class quota_path : public gateway_fixture
{
};

TEST_F(quota_path, a_workspace_beyond_its_quota_is_told_when_to_come_back)
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
    constexpr int most_requests = 40;
    for (int number = 0; number < most_requests && refusal.empty(); ++number)
    {
        const auto answer = fetch("/own/x", std::to_string(number));
        served += answer.ends_with("good") ? 1 : 0;
        refusal = answer.ends_with("good") ? "" : answer;
    }
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 429 ")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    // A pool of this limit holds three, and the fourth overdraws it.
    EXPECT_EQ(served, 4);
}

} // namespace
} // namespace daleshelf
