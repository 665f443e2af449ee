// Guards against requests to a draining upstream while the store is
// unreachable. The list of upstreams is then stale (`wait_given_up
// topic=keyed.servers waited_ms=1500`), and only the notice in the upstream's
// own responses shows that it drains. Hosts that ignored it sent first attempts
// for another 2.9 s.
#include "gateway_fixture.hpp"

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

/// Responds to each request with additional header fields.
scripted_server::script respond_with(const std::string& fields,
                                     const std::string& body, int status = 200)
{
    return [=](test_connection& connection)
    {
        while (true)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return;
            }
            auto response = make_response(id_of(request), body, status);
            response.insert(response.find("\r\n") + 2, fields);
            connection.send(response);
        }
    };
}

class server_notices : public gateway_fixture
{
protected:
    server_notices()
    {
        configure();
    }

    /// Sends requests until the upstream with this body has responded.
    /// @return whether it did within a number of requests that reaches every
    /// upstream if they are chosen evenly
    bool fetch_until(const std::string& body)
    {
        constexpr int max_requests = 200;
        for (int index = 0; index < max_requests; ++index)
        {
            if (fetch("/unsafe/x").ends_with(body))
            {
                return true;
            }
        }
        return false;
    }

    /// @return how many of 50 further requests the upstream has responded to
    int count_responses(const std::string& body)
    {
        constexpr int request_count = 50;
        int response_count = 0;
        for (int index = 0; index < request_count; ++index)
        {
            response_count += fetch("/unsafe/x").ends_with(body) ? 1 : 0;
        }
        return response_count;
    }
};

TEST_F(server_notices, a_server_whose_answer_says_that_it_leaves_gets_nothing)
{
    const scripted_server leaving(
        respond_with("Server-Leaving: 1\r\n", "leaving"));
    const scripted_server staying(respond_with("", "staying"));
    add_server("a", leaving);
    add_server("b", staying);
    ASSERT_TRUE(fetch_until("leaving"));
    EXPECT_EQ(count_responses("leaving"), 0);
}

TEST_F(server_notices, a_server_that_leaves_gets_no_repeat)
{
    const scripted_server leaving(
        respond_with("Server-Leaving: 1\r\n", "leaving"));
    add_server("a", leaving);
    ASSERT_TRUE(fetch_until("leaving"));
    const scripted_server failing(respond_with("", "failed", 500));
    add_server("b", failing);
    for (int index = 0; index < 20; ++index)
    {
        EXPECT_TRUE(fetch("/safe/x").ends_with("failed"));
    }
}

TEST_F(server_notices, a_stream_is_not_resumed_at_a_server_that_leaves)
{
    const scripted_server leaving(
        respond_with("Server-Leaving: 1\r\n", "leaving"));
    add_server("a", leaving);
    ASSERT_TRUE(fetch_until("leaving"));
    const scripted_server breaking(
        [](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(stream_head(id_of(request)) + event_chunk(1, "x"));
            connection.close();
        });
    add_server("b", breaking);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    const auto response = client->read_all();
    EXPECT_NE(response.find("id: 1"), std::string::npos) << response;
    EXPECT_EQ(response.find("leaving"), std::string::npos) << response;
    EXPECT_FALSE(response.ends_with(last_chunk)) << response;
}

// The notice is in the head, and a stream can stay open for many seconds.
TEST_F(server_notices, a_notice_in_the_head_of_an_open_stream_applies_at_once)
{
    std::atomic<int> attempts = 0;
    const scripted_server leaving(
        [&](test_connection& connection)
        {
            const auto request = connection.read_message();
            ++attempts;
            auto head = stream_head(id_of(request));
            head.insert(head.find("\r\n") + 2, "Server-Leaving: 1\r\n");
            connection.send(head + event_chunk(1, "x"));
            connection.read_all();
        });
    add_server("a", leaving);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    client->read_message();
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_EQ(attempts, 1);
}

TEST_F(server_notices, a_notice_in_a_response_to_another_request_applies_too)
{
    std::atomic<int> attempts = 0;
    const scripted_server leaving(
        [&](test_connection& connection)
        {
            const auto request = connection.read_message();
            ++attempts;
            auto other = make_response("another", "late");
            other.insert(other.find("\r\n") + 2, "Server-Leaving: 1\r\n");
            connection.send(other + make_response(id_of(request), "own"));
            connection.read_all();
        });
    add_server("a", leaving);
    EXPECT_TRUE(fetch("/unsafe/x").ends_with("own"));
    EXPECT_TRUE(fetch("/unsafe/x").starts_with("HTTP/1.1 503 "));
    EXPECT_EQ(attempts, 1);
}

} // namespace
} // namespace daleshelf
