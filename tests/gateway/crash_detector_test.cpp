// Guards against a query of death that stays undetected because its clients
// disconnect before the upstream crashes. The gateway closes such an attempt
// itself, so that its connection does not break (no `upstream_failed`, no
// `upstream_ended`, only `request_ended outcome=client_left`). Such requests,
// left after 20 to 55 ms, crashed seven upstreams, of which the hosts recorded
// three.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <future>

namespace daleshelf
{
namespace
{

/// Never responds, and reports when the first request is read and aborted.
class silent_server
{
public:
    silent_server()
        : m_server(
              [this](test_connection& connection)
              {
                  connection.read_message();
                  const bool is_first = !m_has_request.exchange(true);
                  if (is_first)
                  {
                      m_read.set_value();
                  }
                  connection.read_all();
                  if (is_first)
                  {
                      m_disconnected.set_value();
                  }
              })
    {
    }

    void wait_until_read()
    {
        m_read.get_future().wait();
    }

    void wait_until_disconnected()
    {
        m_disconnected.get_future().wait();
    }

    scripted_server& server()
    {
        return m_server;
    }

private:
    std::atomic<bool> m_has_request = false;
    std::promise<void> m_read;
    std::promise<void> m_disconnected;
    scripted_server m_server; // destroyed first: its threads use the others
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
            [&]
            {
                is_known = m_state.poison.find(
                               fingerprint_of(content_of(path))) != nullptr;
            });
        return is_known;
    }

    /// Sends a request, and disconnects once the upstream has read it.
    void request_and_disconnect(const std::string& path, silent_server& server)
    {
        const auto client = connect();
        client->send(request_for(path));
        server.wait_until_read();
        client->close();
        server.wait_until_disconnected();
    }
};

TEST_F(crash_detector,
       a_request_whose_client_left_before_the_crash_is_suspected)
{
    silent_server server;
    add_server("a", server.server());
    request_and_disconnect("/unsafe/deadly", server);
    EXPECT_FALSE(is_suspected("/unsafe/deadly"));
    server.server().crash();
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
    server.wait_until_disconnected();
    server.server().crash();
    EXPECT_TRUE(fetch("/unsafe/other").starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(is_suspected("/unsafe/deadly"));
}

// Without further requests to the upstream, only the close of an idle pooled
// connection reveals the crash.
TEST_F(crash_detector, a_closed_idle_connection_reveals_the_crash)
{
    std::promise<void> read;
    std::promise<void> disconnected;
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
            disconnected.set_value();
        });
    add_server("a", server);
    const auto client = connect();
    client->send(request_for("/unsafe/deadly"));
    read.get_future().wait();
    EXPECT_TRUE(fetch("/unsafe/other").ends_with("good"));
    client->close();
    disconnected.get_future().wait();
    server.crash();
    while (!is_suspected("/unsafe/deadly"))
    {
    }
    EXPECT_FALSE(is_suspected("/unsafe/other")) << "it got its response";
}

// Nothing reveals the crash of an upstream without other traffic. For a request
// that is suspected already the host probes the port, and sends it nowhere else
// before the result.
TEST_F(crash_detector,
       an_aborted_suspect_is_in_flight_until_its_crash_is_detected)
{
    const auto path = "/unsafe/deadly";
    const auto fingerprint = fingerprint_of(content_of(path));
    const server_incarnation elsewhere{upstream_id("z"), {}};
    on_loop(
        [&]
        {
            const auto now = gateway_state::now();
            m_state.poison.record_crash(
                {fingerprint, shape_of(content_of(path)),
                 service_name("service")},
                elsewhere, absl::Seconds(1), now - absl::Seconds(1));
        });
    silent_server server;
    add_server("a", server.server());
    request_and_disconnect(path, server);
    server.server().crash();
    bool is_in_flight = false;
    on_loop([&] { is_in_flight = m_state.suspects.has(fingerprint); });
    EXPECT_TRUE(is_in_flight);
    std::size_t crashes = 1;
    while (is_in_flight)
    {
        on_loop(
            [&]
            {
                is_in_flight = m_state.suspects.has(fingerprint);
                crashes = m_state.poison.find(fingerprint)->crashes.size();
            });
    }
    EXPECT_EQ(crashes, 2);
}

} // namespace
} // namespace daleshelf
