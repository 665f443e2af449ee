// A request that ends servers was sent on and on: its callers had left, 20 to
// 55 ms after they had asked, before the server under it ended. Seven servers
// ended; the hosts noted three ends, and of the other four nothing (no
// `upstream_failed`, no `upstream_ended`, only `request_ended
// outcome=client_left`): only an attempt that broke was evidence, and one whose
// caller leaves is closed by the host itself before its server ends.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <future>

namespace daleshelf
{
namespace
{

/// Takes requests that it never answers, and says what becomes of the first.
class silent_server
{
public:
    silent_server()
        : m_server(
              [this](test_connection& connection)
              {
                  connection.read_message();
                  const bool is_first = !m_has_read.exchange(true);
                  if (is_first)
                  {
                      m_read.set_value();
                  }
                  connection.read_all();
                  if (is_first)
                  {
                      m_left.set_value();
                  }
              })
    {
    }

    void wait_until_read()
    {
        m_read.get_future().wait();
    }

    void wait_until_left()
    {
        m_left.get_future().wait();
    }

    scripted_server& server()
    {
        return m_server;
    }

private:
    std::atomic<bool> m_has_read = false;
    std::promise<void> m_read;
    std::promise<void> m_left;
    scripted_server m_server; // ends first: its threads use the others
};

class crash_detector : public gateway_fixture
{
protected:
    crash_detector()
    {
        configure();
    }

    static request_content content_of(const std::string& path)
    {
        return {{}, "h", "GET", path, ""};
    }

    bool is_suspected(const std::string& path)
    {
        bool is_known = false;
        on_loop(
            [&] {
                is_known =
                    m_state.poison.find(print_of(content_of(path))) != nullptr;
            });
        return is_known;
    }

    /// Asks, and leaves once the server has read the request.
    void request_and_disconnect(const std::string& path, silent_server& server)
    {
        const auto client = connect();
        client->send(request_for(path));
        server.wait_until_read();
        client->close();
        server.wait_until_left();
    }
};

TEST_F(crash_detector, a_request_whose_caller_left_before_the_end_is_suspected)
{
    silent_server server;
    add_server("a", server.server());
    request_and_disconnect("/unsafe/deadly", server);
    EXPECT_FALSE(is_suspected("/unsafe/deadly"));
    server.server().end();
    EXPECT_TRUE(fetch("/unsafe/other").starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(is_suspected("/unsafe/deadly"));
    EXPECT_FALSE(is_suspected("/unsafe/other")) << "it has never run";
}

TEST_F(crash_detector, a_request_whose_time_was_over_is_suspected)
{
    silent_server server;
    add_server("a", server.server());
    const auto client = connect();
    client->send("GET /unsafe/deadly HTTP/1.1\r\nHost: h\r\n"
                 "X-Attempt-Id: 1\r\nX-Deadline-Ms: 100\r\n\r\n");
    EXPECT_TRUE(client->read_message().starts_with("HTTP/1.1 504 "));
    server.wait_until_left();
    server.server().end();
    EXPECT_TRUE(fetch("/unsafe/other").starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(is_suspected("/unsafe/deadly"));
}

// Nobody else asks for anything there: what shows the end is a connection that
// is kept for the next request.
TEST_F(crash_detector, a_kept_connection_that_ends_shows_it)
{
    std::promise<void> read;
    std::promise<void> left;
    scripted_server server(
        [&](test_connection& connection)
        {
            const auto first = connection.read_message();
            if (!first.starts_with("GET /unsafe/deadly "))
            {
                connection.send(make_response(id_of(first), "good"));
                connection.read_all();
                return;
            }
            read.set_value();
            connection.read_all();
            left.set_value();
        });
    add_server("a", server);
    const auto client = connect();
    client->send(request_for("/unsafe/deadly"));
    read.get_future().wait();
    EXPECT_TRUE(fetch("/unsafe/other").ends_with("good"));
    client->close();
    left.get_future().wait();
    server.end();
    while (!is_suspected("/unsafe/deadly"))
    {
    }
    EXPECT_FALSE(is_suspected("/unsafe/other")) << "it was answered";
}

// At a server that nobody else uses nothing shows the end: where a request is
// suspected already, the host asks by itself, and sends it nowhere else before.
TEST_F(crash_detector,
       a_suspect_that_was_let_go_is_under_way_until_its_end_shows)
{
    const auto path = "/unsafe/deadly";
    const auto print = print_of(content_of(path));
    const server_life elsewhere{upstream_id("z"), {}};
    on_loop(
        [&]
        {
            const auto now = gateway_state::now();
            m_state.poison.note_end(
                {print, shape_of(content_of(path)), service_name("service")},
                elsewhere, absl::Seconds(1), now - absl::Seconds(1));
        });
    silent_server server;
    add_server("a", server.server());
    request_and_disconnect(path, server);
    server.server().end();
    bool is_under_way = false;
    on_loop([&] { is_under_way = m_state.suspects.has(print); });
    EXPECT_TRUE(is_under_way);
    std::size_t ends = 1;
    while (is_under_way)
    {
        on_loop(
            [&]
            {
                is_under_way = m_state.suspects.has(print);
                ends = m_state.poison.find(print)->ends.size();
            });
    }
    EXPECT_EQ(ends, 2);
}

} // namespace
} // namespace daleshelf
