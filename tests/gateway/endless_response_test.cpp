// Responses without an end: docs/hard-load.md, part 5.
#include "gateway_fixture.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace daleshelf
{
namespace
{

constexpr std::size_t block_size = 4096;

std::string repeated(const std::string& unit)
{
    std::string block;
    while (block.size() < block_size)
    {
        block += unit;
    }
    return block;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A response that starts in order and continues with a filler without end.
struct endless_response
{
    std::string name;
    std::string start;
    std::string filler;
};

std::ostream& operator<<(std::ostream& out, const endless_response& response)
{
    return out << response.name;
}

std::string
name_of_case(const testing::TestParamInfo<endless_response>& response)
{
    return response.param.name;
}

std::string head(const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: seal\r\n" +
           fields + "\r\n";
}

std::string chunked_head()
{
    return head("Transfer-Encoding: chunked\r\n");
}

// 4096 bytes of data in each chunk, without a line end.
std::string chunk_filler()
{
    return "1000\r\n" + repeated("x") + "\r\n";
}

/// An upstream whose first response, over all connections, has no end. Later
/// requests get a response or a stream in order.
class endless_server
{
public:
    explicit endless_server(endless_response response)
        : m_response(std::move(response))
        , m_server([this](test_connection& connection) { serve(connection); })
        , m_other([this](test_connection& connection) { serve(connection); })
    {
    }

    /// Waits until the connection of the endless response is closed.
    void wait_until_closed()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_is_closed; });
    }

    [[nodiscard]] const scripted_server& one() const
    {
        return m_server;
    }

    [[nodiscard]] const scripted_server& other() const
    {
        return m_other;
    }

    [[nodiscard]] int requests() const
    {
        return m_server.requests() + m_other.requests();
    }

private:
    void serve(test_connection& connection)
    {
        const auto request = connection.read_message();
        if (request.empty())
        {
            return;
        }
        if (m_has_begun.exchange(true))
        {
            const bool continues = contains(request, "Last-Event-Id: 1\r\n");
            connection.send(contains(request, "GET /safe/")
                                ? make_response("1", "body")
                                : stream_head("1", "second") +
                                      event_chunk(continues ? 2 : 1, "b") +
                                      last_chunk);
            return;
        }
        bool is_open = connection.send(m_response.start);
        while (is_open)
        {
            is_open = connection.send(m_response.filler);
        }
        const std::lock_guard lock(m_mutex);
        m_is_closed = true;
        m_changed.notify_all();
    }

    endless_response m_response;
    std::atomic<bool> m_has_begun = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_closed = false;
    scripted_server m_server;
    scripted_server m_other;
};

class endless_response_test
    : public gateway_fixture,
      public testing::WithParamInterface<endless_response>
{
protected:
    endless_response_test()
    {
        configure();
    }

    void add_both(const endless_server& server)
    {
        add_server("a", server.one());
        add_server("b", server.other());
    }

    // Whether a failure of one of the two upstreams is recorded, and none of
    // the other. At a time before all failures, none has expired.
    bool has_failed_upstream()
    {
        absl::flat_hash_set<upstream_id> chosen;
        request_facts facts;
        choice_request wanted;
        wanted.service = service_name("service");
        wanted.facts = &facts;
        on_loop(
            [&]
            {
                for (int round = 0; round < 40; ++round)
                {
                    const auto* server =
                        m_state.choice.choose(wanted, absl::UnixEpoch());
                    chosen.insert(server->id);
                }
            });
        return chosen.size() == 1;
    }

    std::string fetch_all(const std::string& path)
    {
        const auto client = connect();
        client->send(request_for(path));
        return client->read_all();
    }

    // Reads a response of either framing.
    std::string fetch_stream(const std::string& path)
    {
        const auto client = connect();
        client->send(request_for(path));
        return client->read_until(last_chunk);
    }
};

class endless_before_body : public endless_response_test
{
};

// Guards against a caller that waits until its deadline for an upstream that
// will not respond, although another one would.
TEST_P(endless_before_body, a_safe_request_is_served_by_another_upstream)
{
    endless_server server(GetParam());
    add_both(server);
    const auto response = fetch("/safe/x");
    EXPECT_TRUE(response.ends_with("\r\n\r\nbody")) << response.substr(0, 200);
    server.wait_until_closed();
    EXPECT_TRUE(has_failed_upstream());
}

// Guards against an unsafe request that runs twice, and against 504 or an
// empty response in place of 502.
TEST_P(endless_before_body, an_unsafe_request_gets_502)
{
    endless_server server(GetParam());
    add_both(server);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502 "))
        << response.substr(0, 200);
    server.wait_until_closed();
    EXPECT_TRUE(has_failed_upstream());
    EXPECT_EQ(server.requests(), 1);
}

// Guards against a stream that fails although nothing of it was forwarded.
TEST_P(endless_before_body, a_stream_is_served_by_another_upstream)
{
    endless_server server(GetParam());
    add_both(server);
    const auto response = fetch_stream("/stream/x");
    EXPECT_TRUE(contains(response, "data: b\n\n")) << response.substr(0, 200);
    EXPECT_TRUE(response.ends_with(last_chunk));
    server.wait_until_closed();
    EXPECT_TRUE(has_failed_upstream());
}

INSTANTIATE_TEST_SUITE_P(
    positions, endless_before_body,
    testing::Values(
        endless_response{"before_the_status_line", "", repeated("\r\n")},
        endless_response{"in_the_status_line", "HTTP/1.1 200 ", repeated("x")},
        endless_response{"in_a_header",
                         "HTTP/1.1 200 OK\r\nX-A: ", repeated("x")},
        endless_response{"between_headers", "HTTP/1.1 200 OK\r\n",
                         repeated("X-A: b\r\n")},
        endless_response{"in_informational_responses", "",
                         repeated("HTTP/1.1 103 Early Hints\r\n\r\n")},
        endless_response{"in_responses_to_others", "",
                         repeated(make_response("other", "x"))},
        endless_response{"in_the_body_for_another",
                         "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         chunk_filler()},
        endless_response{"in_a_chunk_size_line", chunked_head(), repeated("0")},
        endless_response{"in_a_chunk_extension",
                         chunked_head() + "5;a=", repeated("x")},
        endless_response{"in_a_trailer",
                         chunked_head() + "0\r\nX-A: ", repeated("x")},
        endless_response{"between_trailers", chunked_head() + "0\r\n",
                         repeated("X-A: b\r\n")}),
    name_of_case);

class endless_within_stream : public endless_response_test
{
};

// Guards against a stream that stops although it can be resumed.
TEST_P(endless_within_stream, a_stream_is_resumed_at_another_upstream)
{
    endless_server server(GetParam());
    add_both(server);
    const auto response = fetch_stream("/stream/x");
    EXPECT_TRUE(contains(response, "data: a\n\n")) << response.substr(0, 200);
    EXPECT_TRUE(contains(response, "data: b\n\n")) << response.substr(0, 400);
    EXPECT_TRUE(response.ends_with(last_chunk));
    server.wait_until_closed();
    EXPECT_TRUE(has_failed_upstream());
}

// Guards against a truncated stream that looks complete, or that runs twice.
TEST_P(endless_within_stream, a_stream_that_cannot_be_resumed_is_broken_off)
{
    endless_server server(GetParam());
    add_both(server);
    const auto response = fetch_all("/fixed/x");
    EXPECT_TRUE(contains(response, "data: a\n\n")) << response.substr(0, 200);
    EXPECT_FALSE(response.ends_with(last_chunk));
    server.wait_until_closed();
    EXPECT_TRUE(has_failed_upstream());
    EXPECT_EQ(server.requests(), 1);
}

std::string begun_stream()
{
    return stream_head("1") + event_chunk(1, "a");
}

INSTANTIATE_TEST_SUITE_P(
    positions, endless_within_stream,
    testing::Values(
        endless_response{"in_a_chunk_size_line", begun_stream(), repeated("0")},
        endless_response{"in_a_chunk_extension",
                         begun_stream() + "5;a=", repeated("x")},
        endless_response{"in_an_event_of_many_chunks", begun_stream(),
                         chunk_filler()},
        endless_response{"in_an_event_of_one_chunk",
                         begun_stream() + "ffffffffff\r\n", repeated("x")},
        endless_response{"in_lines_of_an_event",
                         begun_stream() + "ffffffffff\r\n",
                         repeated("data: x\n")},
        endless_response{"in_an_event_without_framing",
                         head("Content-Type: text/event-stream\r\n") +
                             "id: 1\ndata: a\n\n",
                         repeated("x")},
        endless_response{"in_a_trailer",
                         begun_stream() + "0\r\nX-A: ", repeated("x")},
        endless_response{"between_trailers", begun_stream() + "0\r\n",
                         repeated("X-A: b\r\n")}),
    name_of_case);

class endless_body : public endless_response_test
{
protected:
    static std::string request_with_deadline(int deadline_ms)
    {
        auto request = request_for("/safe/x");
        const std::string stated = "X-Deadline-Ms: 5000";
        return request.replace(request.find(stated), stated.size(),
                               "X-Deadline-Ms: " + std::to_string(deadline_ms));
    }

    void allow_long_requests()
    {
        on_loop(
            [&]
            {
                auto configuration = m_state.routes->configuration();
                for (auto& route : configuration.routes)
                {
                    route.timeout = milliseconds(120000);
                }
                m_state.routes = std::make_shared<const route_table>(
                    std::move(configuration));
            });
    }
};

// Guards against a body without framing that looks complete, and against one
// that continues until the deadline.
TEST_F(endless_body, without_framing_is_broken_off)
{
    for (const auto* path : {"/safe/x", "/unsafe/x", "/fixed/x"})
    {
        endless_server server({"", head(""), repeated("x")});
        add_both(server);
        const auto response = fetch_all(path);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << path;
        EXPECT_FALSE(response.ends_with(last_chunk)) << path;
        server.wait_until_closed();
        EXPECT_TRUE(has_failed_upstream()) << path;
        EXPECT_EQ(server.requests(), 1) << path;
        on_loop(
            [&]
            {
                m_state.choice.reset_server(upstream_id("a"));
                m_state.choice.reset_server(upstream_id("b"));
            });
    }
}

// Guards against a body in valid framing that is forwarded beyond the deadline
// because input is always available.
TEST_F(endless_body, in_valid_framing_ends_at_the_deadline)
{
    endless_server server({"", chunked_head(), chunk_filler()});
    add_both(server);
    const auto client = connect();
    client->send(request_with_deadline(400));
    const auto response = client->read_all();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 "));
    EXPECT_FALSE(response.ends_with(last_chunk));
    server.wait_until_closed();
}

// Guards against repeated events that are dropped beyond the deadline because
// input is always available.
TEST_F(endless_body, of_events_that_the_client_has_ends_at_the_deadline)
{
    endless_server server({"", stream_head("1") + event_chunk(1, "a"),
                           repeated(event_chunk(1, "a"))});
    add_both(server);
    const auto client = connect();
    auto request = request_with_deadline(400);
    request.replace(request.find("/safe/"), 6, "/fixed/");
    client->send(request);
    EXPECT_FALSE(client->read_all().ends_with(last_chunk));
    server.wait_until_closed();
}

/// Sends a body of many chunks, and counts those that were sent.
class long_body_server
{
public:
    static constexpr int chunk_count = 512;
    static constexpr std::size_t chunk_size = 65536;

    long_body_server(std::string start, std::string chunk)
        : m_start(std::move(start))
        , m_chunk(std::move(chunk))
        , m_server([this](test_connection& connection) { serve(connection); })
    {
    }

    [[nodiscard]] const scripted_server& server() const
    {
        return m_server;
    }

    // Waits until the sender is held up. Waiting for too short a time only
    // returns a smaller number.
    [[nodiscard]] int sent_when_held_up() const
    {
        int before = -1;
        while (m_sent == 0 || m_sent != before)
        {
            before = m_sent;
            std::this_thread::sleep_for(milliseconds(100));
        }
        return before;
    }

private:
    void serve(test_connection& connection)
    {
        if (connection.read_message().empty())
        {
            return;
        }
        connection.send(m_start);
        while (m_sent < chunk_count && connection.send(m_chunk))
        {
            ++m_sent;
        }
        connection.send(last_chunk);
    }

    std::string m_start;
    std::string m_chunk;
    std::atomic<int> m_sent = 0;
    scripted_server m_server;
};

// Guards against limits that break off legitimate responses, and against a
// gateway that buffers what its client does not read.
TEST_F(endless_body, of_legitimate_length_passes_with_back_pressure)
{
    allow_long_requests();
    const long_body_server long_body(
        chunked_head(),
        "10000\r\n" + std::string(long_body_server::chunk_size, 'z') + "\r\n");
    add_server("a", long_body.server());
    const auto client = connect();
    client->send(request_with_deadline(120000));
    EXPECT_LT(long_body.sent_when_held_up(), long_body_server::chunk_count);
    const auto response = client->read_until(last_chunk);
    EXPECT_TRUE(response.ends_with(last_chunk));
    const auto passed = std::count(response.begin(), response.end(), 'z');
    EXPECT_EQ(static_cast<std::size_t>(passed),
              long_body_server::chunk_count * long_body_server::chunk_size);
}

// Guards against limits on events that apply to a stream as a whole.
TEST_F(endless_body, of_many_events_passes_with_back_pressure)
{
    allow_long_requests();
    const std::string event =
        "data: " + std::string(long_body_server::chunk_size - 8, 'z') + "\n\n";
    const long_body_server long_body(stream_head("1"),
                                     "10000\r\n" + event + "\r\n");
    add_server("a", long_body.server());
    const auto client = connect();
    auto request = request_with_deadline(120000);
    request.replace(request.find("/safe/"), 6, "/fixed/");
    client->send(request);
    EXPECT_LT(long_body.sent_when_held_up(), long_body_server::chunk_count);
    const auto response = client->read_until(last_chunk);
    EXPECT_TRUE(response.ends_with(last_chunk));
    const auto passed = std::count(response.begin(), response.end(), 'z');
    EXPECT_EQ(passed, long_body_server::chunk_count *
                          (static_cast<int>(long_body_server::chunk_size) - 8));
}

} // namespace
} // namespace daleshelf
