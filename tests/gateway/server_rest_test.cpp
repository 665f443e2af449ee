// Guards against ignoring Retry-After: an upstream that rejects a request was
// passed over for 100 ms only, whatever time it named. With two upstreams that
// rejected everything and named 3 s, a host sent one of them 6 further requests
// within that time (`upstream_failed end=not_run`), and the fleet rejected 107
// requests as `servers_full` within 6 s.
#include "gateway_fixture.hpp"

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

/// Rejects all requests, and counts them.
class rejecting_server
{
public:
    /// @param field name and value of a header field of the rejections
    explicit rejecting_server(const std::string& field)
        : m_server([this, field](test_connection& connection)
                   { reject_all(connection, field); })
    {
    }

    [[nodiscard]] const scripted_server& server() const
    {
        return m_server;
    }

    [[nodiscard]] int request_count() const
    {
        return m_request_count;
    }

private:
    void reject_all(test_connection& connection, const std::string& field)
    {
        while (true)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return;
            }
            ++m_request_count;
            connection.send(concat("HTTP/1.1 503 Full\r\nX-Attempt-Id: ",
                                   id_of(request), "\r\nX-Not-Executed: 1\r\n",
                                   field, "\r\nContent-Length: 0\r\n\r\n"));
        }
    }

    std::atomic<int> m_request_count = 0;
    scripted_server m_server;
};

class server_rest : public gateway_fixture
{
protected:
    server_rest()
        : m_healthy(
              [](test_connection& connection)
              {
                  while (true)
                  {
                      const auto request = connection.read_message();
                      if (request.empty())
                      {
                          return;
                      }
                      connection.send(make_response(id_of(request), "good"));
                  }
              })
    {
        configure();
        add_server("b", m_healthy);
    }

    scripted_server m_healthy;
};

TEST_F(server_rest, a_server_that_asks_for_rest_gets_none_of_the_next_requests)
{
    const rejecting_server rejecting("Retry-After: 60");
    add_server("a", rejecting.server());
    constexpr int max_requests = 200;
    for (int index = 0; index < max_requests && rejecting.request_count() == 0;
         ++index)
    {
        fetch("/unsafe/x");
    }
    ASSERT_EQ(rejecting.request_count(), 1);
    // Longer than an upstream is passed over for a rejection without a time.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (int index = 0; index < max_requests; ++index)
    {
        EXPECT_TRUE(fetch("/unsafe/x").ends_with("good"));
    }
    EXPECT_EQ(rejecting.request_count(), 1);
}

TEST_F(server_rest, neither_repeats_nor_resumes_go_to_a_server_that_rests)
{
    const rejecting_server rejecting("Retry-After: 60");
    add_server("a", rejecting.server());
    for (int index = 0; index < 200 && rejecting.request_count() == 0; ++index)
    {
        fetch("/unsafe/x");
    }
    on_loop([&] { m_state.servers.remove(upstream_id("b")); });
    const scripted_server breaking(
        [](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(stream_head(id_of(request)) + event_chunk(1, "x"));
            connection.close();
        });
    add_server("c", breaking);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    client->read_all();
    fetch("/safe/x");
    EXPECT_EQ(rejecting.request_count(), 1);
}

TEST_F(server_rest, when_all_back_off_retry_after_names_the_first_ready_one)
{
    on_loop([&] { m_state.servers.remove(upstream_id("b")); });
    const rejecting_server longer("Retry-After: 4");
    const rejecting_server shorter("Retry-After: 3");
    add_server("a", longer.server());
    add_server("c", shorter.server());
    // The first request is sent to both: neither has run it.
    fetch("/unsafe/x");
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    const auto at = response.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << response;
    const auto seconds = std::stod(response.substr(at + 13));
    EXPECT_LE(seconds, 3.0);
    EXPECT_GT(seconds, 0.25) << "the remaining back-off, not a fixed time";
    EXPECT_EQ(longer.request_count() + shorter.request_count(), 2);
}

TEST_F(server_rest, a_server_that_has_rested_is_asked_again)
{
    on_loop([&] { m_state.servers.remove(upstream_id("b")); });
    const rejecting_server rejecting("Retry-After: 0.05");
    add_server("a", rejecting.server());
    fetch("/unsafe/x");
    while (rejecting.request_count() < 2)
    {
        fetch("/unsafe/x");
    }
    SUCCEED();
}

TEST_F(server_rest, an_upstream_that_crashes_by_rejecting_is_left_alone)
{
    on_loop([&] { m_state.servers.remove(upstream_id("b")); });
    const rejecting_server brittle("Server-Brittle: 1");
    add_server("a", brittle.server());
    for (int index = 0; index < 3; ++index)
    {
        EXPECT_TRUE(fetch("/unsafe/x").starts_with("HTTP/1.1 503 "));
    }
    EXPECT_EQ(brittle.request_count(), 1);
}

} // namespace
} // namespace daleshelf
