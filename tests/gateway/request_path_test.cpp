#include "gateway_fixture.hpp"

#include <condition_variable>
#include <mutex>

namespace daleshelf
{
namespace
{

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Responds to every request on a connection with the same body.
scripted_server::script respond_with(const std::string& body, int status = 200)
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
            connection.send(make_response(id_of(request), body, status));
        }
    };
}

scripted_server::script send_and_close(const std::string& bytes)
{
    return [=](test_connection& connection)
    {
        const auto request = connection.read_message();
        connection.send(bytes);
        connection.close();
    };
}

/// Records requests.
class recorder
{
public:
    void add(const std::string& request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
        m_changed.notify_all();
    }

    std::vector<std::string> wait_for(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_requests.size() >= count; });
        return m_requests;
    }

    std::vector<std::string> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_requests;
};

using request_path = gateway_fixture;

TEST_F(request_path, without_a_configuration_says_when_to_come_back)
{
    const auto response = fetch("/safe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << response;
    EXPECT_TRUE(contains(response, "Retry-After: ")) << response;
}

TEST_F(request_path, passes_an_answer_on_unchanged)
{
    configure();
    const scripted_server server(respond_with("body"));
    add_server("a", server);
    const auto response = fetch("/safe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 200 Any\r\n")) << response;
    EXPECT_TRUE(contains(response, "X-Server-Seal: seal\r\n")) << response;
    EXPECT_TRUE(response.ends_with("\r\n\r\nbody")) << response;
}

TEST_F(request_path, unknown_paths_get_404_and_reach_no_server)
{
    configure();
    const scripted_server server(respond_with("body"));
    add_server("a", server);
    EXPECT_TRUE(contains(fetch("/other/x"), "HTTP/1.1 404 "));
    EXPECT_EQ(server.connections(), 0);
}

TEST_F(request_path, malformed_and_smuggled_requests_get_400)
{
    configure();
    const scripted_server server(respond_with("body"));
    add_server("a", server);
    for (const auto* bytes :
         {"GET /safe/x HTTP/1.1\r\nHost: h\r\nbroken\r\n\r\n",
          "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n"
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "GET /safe/x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
          "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n"})
    {
        const auto client = connect();
        client->send(bytes);
        EXPECT_TRUE(contains(client->read_message(), "HTTP/1.1 400 ")) << bytes;
    }
    EXPECT_EQ(server.connections(), 0);
}

TEST_F(request_path, oversized_requests_get_413_and_431)
{
    configure();
    const auto long_head = connect();
    long_head->send("GET / HTTP/1.1\r\nA: " + std::string(40000, 'x') +
                    "\r\n\r\n");
    EXPECT_TRUE(contains(long_head->read_message(), "HTTP/1.1 431 "));
    const auto long_body = connect();
    long_body->send("POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n"
                    "Content-Length: 99999999\r\n\r\n");
    EXPECT_TRUE(contains(long_body->read_message(), "HTTP/1.1 413 "));
}

TEST_F(request_path, an_unsafe_request_is_never_sent_twice)
{
    configure();
    const scripted_server first(send_and_close(""));
    const scripted_server second(send_and_close(""));
    add_server("a", first);
    add_server("b", second);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 502 ")) << response;
    EXPECT_EQ(first.requests() + second.requests(), 1);
}

TEST_F(request_path, a_safe_request_goes_to_another_server)
{
    configure();
    const scripted_server first(send_and_close(""));
    const scripted_server second(respond_with("good"));
    add_server("a", first);
    add_server("b", second);
    for (int index = 0; index < 4; ++index)
    {
        EXPECT_TRUE(fetch("/safe/x").ends_with("good"));
    }
}

TEST_F(request_path, a_server_that_states_not_run_leaves_the_request_to_others)
{
    configure();
    const scripted_server full(send_and_close(
        "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
    const scripted_server available(respond_with("good"));
    add_server("a", full);
    add_server("b", available);
    for (int index = 0; index < 4; ++index)
    {
        EXPECT_TRUE(fetch("/unsafe/x").ends_with("good"));
    }
}

TEST_F(request_path, when_all_are_full_the_refusal_says_when_to_come_back)
{
    configure();
    const scripted_server full(send_and_close(
        "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
    add_server("a", full);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << response;
    EXPECT_TRUE(contains(response, "Retry-After: ")) << response;
}

TEST_F(request_path, a_late_answer_to_another_request_is_skipped)
{
    configure();
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(make_response("another", "wrong") +
                            make_response(id_of(request), "right"));
            connection.read_message();
        });
    add_server("a", server);
    EXPECT_TRUE(fetch("/unsafe/x").ends_with("right"));
}

TEST_F(request_path, bytes_after_an_answer_end_the_connection)
{
    configure();
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(make_response(id_of(request), "one") + "more");
            connection.read_message();
        });
    add_server("a", server);
    EXPECT_TRUE(fetch("/safe/x", "1").ends_with("one"));
    EXPECT_TRUE(fetch("/safe/x", "2").ends_with("one"));
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(request_path, a_connection_is_kept_for_the_next_request)
{
    configure();
    const scripted_server server(respond_with("body"));
    add_server("a", server);
    fetch("/safe/x", "1");
    fetch("/safe/x", "2");
    EXPECT_EQ(server.connections(), 1);
}

// Guards against an endless loop: when a connection is closed in order within a
// chunk, the parser never consumes the remaining bytes (docs/findings).
TEST_F(request_path, a_response_cut_off_within_a_chunk_is_incomplete)
{
    configure();
    const scripted_server server(
        send_and_close("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
                       "X-Server-Seal: seal\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n5\r\nab"));
    add_server("a", server);
    EXPECT_TRUE(contains(fetch("/unsafe/x"), "HTTP/1.1 502 "));
    EXPECT_TRUE(contains(fetch("/other/x"), "HTTP/1.1 404 "))
        << "the gateway still responds";
}

TEST_F(request_path, an_answer_without_length_that_is_reset_is_not_whole)
{
    configure();
    const scripted_server server(
        [](test_connection& connection)
        {
            connection.read_message();
            connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
                            "X-Server-Seal: seal\r\n\r\nhalf");
            connection.reset();
        });
    add_server("a", server);
    EXPECT_TRUE(contains(fetch("/unsafe/x"), "HTTP/1.1 502 "));
}

TEST_F(request_path, a_server_gets_the_request_once_and_without_the_key)
{
    configure();
    recorder requests;
    const scripted_server server(
        [&](test_connection& connection)
        {
            const auto request = connection.read_message();
            requests.add(request);
            connection.send(make_response(id_of(request), "ok"));
        });
    add_server("a", server);
    const auto client = connect();
    client->send("POST /safe/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\n"
                 "X-Credential: secret\r\nX-Tenant: forged\r\n"
                 "Connection: X-Hop\r\nX-Hop: 1\r\nX-Model: m\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    client->read_message();
    const auto request = requests.wait_for(1).front();
    EXPECT_TRUE(request.starts_with("POST /safe/x?q=1 HTTP/1.1\r\n"));
    EXPECT_TRUE(contains(request, "X-Model: m\r\n"));
    EXPECT_TRUE(contains(request, "X-Expect-Instance: a\r\n"));
    EXPECT_TRUE(contains(request, "X-Deadline-Ms: "));
    EXPECT_TRUE(request.ends_with("\r\n\r\nabc"));
    for (const auto* withheld : {"secret", "forged", "X-Hop"})
    {
        EXPECT_FALSE(contains(request, withheld)) << withheld;
    }
}

TEST_F(request_path, a_client_that_leaves_frees_the_server)
{
    configure();
    recorder closed;
    recorder started;
    const scripted_server server(
        [&](test_connection& connection)
        {
            const auto request = connection.read_message();
            // Sent before the client disconnects: a send that meets the reset
            // consumes its error, and the next read looks like an orderly
            // close.
            connection.send(stream_head("1") + event_chunk(1, "a"));
            started.add(request);
            connection.read_all();
            // A reset drops bytes that a network cut would delay.
            closed.add(connection.was_reset() ? "reset" : "closed");
        });
    add_server("a", server);
    auto client = connect();
    client->send(request_for("/stream/x"));
    started.wait_for(1);
    client->close();
    EXPECT_EQ(closed.wait_for(1).front(), "reset");
}

TEST_F(request_path, a_stream_goes_on_at_another_server_under_the_first_head)
{
    configure();
    recorder requests;
    const auto serve = [&](test_connection& connection)
    {
        const auto request = connection.read_message();
        const bool is_first = requests.all().empty();
        if (request.empty())
        {
            return;
        }
        requests.add(request);
        if (is_first)
        {
            connection.send(stream_head("1", "first") + event_chunk(1, "a") +
                            event_chunk(2, "b") + "9\r\nid: 3\nda");
            connection.close();
            return;
        }
        connection.send(stream_head("1", "second") + event_chunk(3, "c") +
                        last_chunk);
    };
    const scripted_server one(serve);
    const scripted_server two(serve);
    add_server("a", one);
    add_server("b", two);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    std::string response;
    while (!response.ends_with(last_chunk))
    {
        const auto more = client->read_message();
        if (more.empty())
        {
            break;
        }
        response += more;
    }
    EXPECT_TRUE(contains(response, "X-Server-Seal: first\r\n")) << response;
    EXPECT_FALSE(contains(response, "second")) << response;
    EXPECT_TRUE(contains(response, "data: a")) << response;
    EXPECT_TRUE(contains(response, "data: b")) << response;
    EXPECT_TRUE(contains(requests.wait_for(2)[1], "Last-Event-Id: 2\r\n"));
}

TEST_F(request_path, a_stream_that_cannot_be_resumed_is_not_run_again)
{
    configure();
    const scripted_server one(
        send_and_close(stream_head("1") + event_chunk(1, "a")));
    const scripted_server two(
        send_and_close(stream_head("1") + event_chunk(1, "a")));
    add_server("a", one);
    add_server("b", two);
    const auto client = connect();
    client->send(request_for("/fixed/x"));
    const auto response = client->read_all();
    EXPECT_TRUE(contains(response, "data: a")) << response;
    EXPECT_FALSE(response.ends_with(last_chunk)) << "it must not look complete";
    EXPECT_EQ(one.requests() + two.requests(), 1);
}

std::string unframed_head()
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: seal\r\n"
           "Content-Type: text/event-stream\r\n\r\n";
}

TEST_F(request_path, a_stream_without_a_length_ends_with_its_connection)
{
    configure();
    const scripted_server server(send_and_close(
        unframed_head() + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    add_server("a", server);
    for (const auto* path : {"/stream/x", "/fixed/x"})
    {
        const auto client = connect();
        client->send(request_for(path));
        const auto response = client->read_until(last_chunk);
        EXPECT_TRUE(contains(response, "data: b")) << response;
        EXPECT_TRUE(response.ends_with(last_chunk)) << response;
    }
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(request_path, a_stream_that_ends_inside_an_event_is_broken_off)
{
    configure();
    const scripted_server server(
        send_and_close(unframed_head() + "id: 1\ndata: a\n\nid: 2\ndata:"));
    add_server("a", server);
    const auto client = connect();
    client->send(request_for("/fixed/x"));
    const auto response = client->read_all();
    EXPECT_TRUE(contains(response, "data: a")) << response;
    EXPECT_FALSE(response.ends_with(last_chunk)) << "it must not look complete";
}

TEST_F(request_path, counts_requests_by_route_and_outcome)
{
    configure();
    const scripted_server server(respond_with("body"));
    add_server("a", server);
    fetch("/safe/x");
    fetch("/other/x");
    std::string text;
    on_loop([&] { text = m_state.metrics.render(); });
    EXPECT_TRUE(contains(text,
                         "daleshelf_gateway_requests_total{route=\"/safe/\","
                         "outcome=\"answered\",server_hall=\"here\"} 1"))
        << text;
    EXPECT_TRUE(contains(text, "outcome=\"no_route\"")) << text;
    EXPECT_TRUE(contains(text, "daleshelf_gateway_request_seconds")) << text;
}

TEST_F(request_path, a_stopping_gateway_closes_connections_and_refuses_late)
{
    configure();
    const scripted_server server(respond_with("body"));
    add_server("a", server);
    on_loop(
        [&]
        {
            m_state.is_stopping = true;
            m_state.stopping_since = monotonic::now();
        });
    EXPECT_TRUE(contains(fetch("/safe/x"), "Connection: close\r\n"));
    on_loop(
        [&] {
            m_state.stopping_since = monotonic::now() - std::chrono::seconds(4);
        });
    const auto response = fetch("/safe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << response;
    EXPECT_TRUE(contains(response, "Retry-After: ")) << response;
}

} // namespace
} // namespace daleshelf
