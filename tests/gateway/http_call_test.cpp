#include "gateway_fixture.hpp"

#include <future>
#include <gateway/http_call.hpp>

namespace daleshelf
{
namespace
{

using http_call = gateway_fixture;

// A call that a cut held up came two seconds after its lease had lapsed and
// another machine had called with a higher token (docs/findings).
TEST_F(http_call, a_call_that_is_given_up_is_reset)
{
    std::promise<bool> ended;
    const scripted_server server(
        [&](test_connection& connection)
        {
            connection.read_message();
            connection.read_all();
            ended.set_value(connection.was_reset());
        });
    std::unique_ptr<http_caller> caller;
    std::promise<bool> answered;
    on_loop(
        [&]
        {
            caller = std::make_unique<http_caller>(m_context, server.address());
            asio::co_spawn(
                m_context,
                [&]() -> awaitable<void>
                {
                    platform::store_call call{"GET", "/", "", ""};
                    const auto answer = co_await caller->call(std::move(call),
                                                              milliseconds(50));
                    answered.set_value(answer.has_value());
                },
                asio::detached);
        });
    EXPECT_FALSE(answered.get_future().get());
    EXPECT_TRUE(ended.get_future().get());
    on_loop([&] { caller.reset(); });
}

TEST_F(http_call, calls_share_a_connection)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            while (!connection.read_message().empty())
            {
                connection.send(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
    std::unique_ptr<http_caller> caller;
    std::promise<std::string> bodies;
    on_loop(
        [&]
        {
            caller = std::make_unique<http_caller>(m_context, server.address());
            asio::co_spawn(
                m_context,
                [&]() -> awaitable<void>
                {
                    std::string all;
                    for (int index = 0; index < 2; ++index)
                    {
                        platform::store_call call{"GET", "/", "", ""};
                        const auto answer = co_await caller->call(
                            std::move(call), milliseconds(5000));
                        all += answer ? answer->body : "none";
                    }
                    bodies.set_value(all);
                },
                asio::detached);
        });
    EXPECT_EQ(bodies.get_future().get(), "okok");
    EXPECT_EQ(server.connections(), 1);
    on_loop([&] { caller.reset(); });
}

} // namespace
} // namespace daleshelf
