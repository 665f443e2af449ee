#include "gateway_fixture.hpp"

#include <future>
#include <gateway/http_call.hpp>

namespace daleshelf
{
namespace
{

using http_call = gateway_fixture;

// Guards against a call delivered after its sender has aborted it: a call
// delayed by a network cut arrived two seconds after its lease had expired,
// when another host had already called with a higher fencing token
// (docs/findings).
TEST_F(http_call, an_aborted_call_resets_its_connection)
{
    std::promise<bool> is_reset;
    const scripted_server server(
        [&](test_connection& connection)
        {
            connection.read_message();
            connection.read_all();
            is_reset.set_value(connection.was_reset());
        });
    std::unique_ptr<http_caller> caller;
    std::promise<bool> is_answered;
    on_loop(
        [&]
        {
            caller = std::make_unique<http_caller>(m_context, server.address());
            asio::co_spawn(
                m_context,
                [&]() -> awaitable<void>
                {
                    platform::store_call call{"GET", "/", "", ""};
                    const auto response = co_await caller->call(
                        std::move(call), milliseconds(50));
                    is_answered.set_value(response.has_value());
                },
                asio::detached);
        });
    EXPECT_FALSE(is_answered.get_future().get());
    EXPECT_TRUE(is_reset.get_future().get());
    on_loop([&] { caller.reset(); });
}

// Guards against a host that runs out of memory at a store or peer that sends
// without end.
TEST_F(http_call, a_body_without_end_fails_the_call)
{
    constexpr std::size_t chunk_size = 65536;
    constexpr std::size_t max_body = 262144;
    // What the sockets hold besides.
    constexpr std::size_t max_sent = std::size_t{128} * max_body;
    std::promise<std::size_t> sent_bytes;
    const scripted_server server(
        [&](test_connection& connection)
        {
            connection.read_message();
            connection.send(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            const auto chunk =
                "10000\r\n" + std::string(chunk_size, 'x') + "\r\n";
            std::size_t sent = 0;
            while (sent <= max_sent && connection.send(chunk))
            {
                sent += chunk_size;
            }
            sent_bytes.set_value(sent);
        });
    EXPECT_FALSE(call(server.address(), milliseconds(60000), max_body));
    EXPECT_LE(sent_bytes.get_future().get(), max_sent);
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
                        const auto response = co_await caller->call(
                            std::move(call), milliseconds(5000));
                        all += response ? response->body : "none";
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
