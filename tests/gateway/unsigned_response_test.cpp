// Guards against clients that get, as the success of their request, bytes that
// their upstream has not signed as its answer.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <future>

namespace daleshelf
{
namespace
{

constexpr const char* spoiled_body = "not the upstream's answer";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A response that parses and is not an answer to the request.
struct spoiled_response
{
    std::string name;
    std::string fields; ///< "ID" stands for the id of the request
    std::string trailer;
    int status = 200;
};

// GoogleTest finds it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const spoiled_response& response, std::ostream* out)
{
    *out << response.name;
}

std::string with_id(std::string text, const std::string& id)
{
    constexpr std::string_view placeholder = "ID";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + id.size()))
    {
        text.replace(at, placeholder.size(), id);
    }
    return text;
}

/// @param more further fields of the head
/// @param body chunks of the body
std::string spoil(const spoiled_response& response, const std::string& id,
                  const std::string& more, const std::string& body)
{
    return concat("HTTP/1.1 ", response.status, " OK\r\n",
                  with_id(response.fields, id), more,
                  "Transfer-Encoding: chunked\r\n\r\n", body, "0\r\n",
                  with_id(response.trailer, id), "\r\n");
}

std::string plain_chunk()
{
    const std::string body = spoiled_body;
    return concat(to_hexadecimal(body.size()), "\r\n", body, "\r\n");
}

class response_fixture : public gateway_fixture
{
protected:
    response_fixture()
    {
        configure();
    }

    /// Begins a stream that breaks off after its first event, and answers the
    /// attempt that continues it.
    /// @param respond returns the response to a request with the id
    void expect_broken_stream(
        const std::function<std::string(const std::string& id)>& respond)
    {
        const auto serve = [&](test_connection& connection)
        {
            const auto request = connection.read_message();
            const bool continues =
                request.find("Last-Event-Id: ") != std::string::npos;
            connection.send(continues ? respond(id_of(request))
                                      : stream_head(id_of(request)) +
                                            event_chunk(1, "first"));
        };
        const scripted_server one(serve);
        const scripted_server other(serve);
        add_server("a", one);
        add_server("b", other);
        const auto client = connect();
        client->send(request_for("/stream/x"));
        const auto response = client->read_until(last_chunk);
        EXPECT_TRUE(contains(response, "first")) << response;
        EXPECT_FALSE(contains(response, spoiled_body)) << response;
        EXPECT_FALSE(response.ends_with(last_chunk))
            << "it must not look complete";
        EXPECT_EQ(one.requests() + other.requests(), 2);
    }
};

class unsigned_response : public response_fixture,
                          public testing::WithParamInterface<spoiled_response>
{
protected:
    /// Responds to each request on a connection with the spoiled response.
    static scripted_server::script spoil_all(const std::string& more = "")
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
                connection.send(
                    spoil(GetParam(), id_of(request), more, plain_chunk()));
            }
        };
    }

    /// Responds to each request with the spoiled head of a stream.
    static scripted_server::script spoil_streams()
    {
        return [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(spoil(GetParam(), id,
                                  "Content-Type: text/event-stream\r\n",
                                  event_chunk(2, spoiled_body)));
        };
    }

    static scripted_server::script respond()
    {
        return [](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(make_response(id_of(request), "good"));
        };
    }

    std::string fetch_stream(const std::string& path)
    {
        const auto client = connect();
        client->send(request_for(path));
        return client->read_until(last_chunk);
    }
};

TEST_P(unsigned_response, is_a_502_to_an_unsafe_request)
{
    const scripted_server spoiling(spoil_all());
    add_server("a", spoiling);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 502 ")) << response;
    EXPECT_FALSE(contains(response, "X-Server-Seal")) << response;
    EXPECT_FALSE(contains(response, spoiled_body)) << response;
    EXPECT_EQ(spoiling.requests(), 1);
}

TEST_P(unsigned_response, leaves_a_safe_request_to_another_upstream)
{
    const scripted_server spoiling(spoil_all());
    add_server("a", spoiling);
    EXPECT_TRUE(contains(fetch("/safe/x"), "HTTP/1.1 502 "));
    const scripted_server sound(respond());
    add_server("b", sound);
    EXPECT_TRUE(fetch("/safe/x").ends_with("good"));
}

TEST_P(unsigned_response, ends_its_connection)
{
    std::promise<void> is_closed;
    const scripted_server spoiling(
        [&](test_connection& connection)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return; // a probe of the port
            }
            connection.send(
                spoil(GetParam(), id_of(request), "", plain_chunk()));
            connection.read_all();
            is_closed.set_value();
        });
    add_server("a", spoiling);
    fetch("/unsafe/x");
    is_closed.get_future().wait();
}

TEST_P(unsigned_response, counts_as_a_failed_attempt)
{
    const scripted_server spoiling(spoil_all());
    add_server("a", spoiling);
    fetch("/unsafe/x");
    std::string text;
    on_loop([&] { text = m_state.metrics.render(); });
    EXPECT_TRUE(contains(text, "end=\"broken\"} 1")) << text;
}

TEST_P(unsigned_response, begins_no_stream)
{
    const scripted_server spoiling(spoil_streams());
    add_server("a", spoiling);
    for (const auto* path : {"/stream/x", "/fixed/x"})
    {
        const auto response = fetch_stream(path);
        EXPECT_FALSE(contains(response, "HTTP/1.1 200 ")) << response;
        EXPECT_FALSE(contains(response, spoiled_body)) << response;
    }
}

TEST_P(unsigned_response, continues_no_stream)
{
    expect_broken_stream(
        [](const std::string& id)
        {
            return spoil(GetParam(), id, "Content-Type: text/event-stream\r\n",
                         event_chunk(2, spoiled_body));
        });
}

TEST_P(unsigned_response, answers_no_head_request)
{
    const scripted_server spoiling(
        [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(concat("HTTP/1.1 ", GetParam().status, " OK\r\n",
                                   with_id(GetParam().fields, id),
                                   "Content-Length: 5\r\n\r\n"));
        });
    add_server("a", spoiling);
    auto request = request_for("/unsafe/x");
    request.replace(0, 3, "HEAD");
    const auto client = connect();
    client->send(request);
    const auto response = client->read_until("\r\n\r\n");
    EXPECT_TRUE(contains(response, "HTTP/1.1 502 ")) << response;
}

// Bytes that are not an answer say nothing about the upstream.
TEST_P(unsigned_response, carries_no_notice_of_its_upstream)
{
    std::atomic<int> requests = 0;
    const scripted_server server(
        [&](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(++requests == 1
                                ? spoil(GetParam(), id, "Server-Leaving: 1\r\n",
                                        plain_chunk())
                                : make_response(id, "good"));
        });
    add_server("a", server);
    fetch("/unsafe/x");
    EXPECT_TRUE(fetch("/unsafe/x").ends_with("good"));
}

INSTANTIATE_TEST_SUITE_P(
    responses, unsigned_response,
    testing::Values(
        spoiled_response{"without_id_and_signature", "", ""},
        spoiled_response{"without_signature", "X-Attempt-Id: ID\r\n", ""},
        spoiled_response{"with_an_empty_signature",
                         "X-Attempt-Id: ID\r\nX-Server-Seal: \r\n", ""},
        spoiled_response{
            "with_two_signatures",
            "X-Attempt-Id: ID\r\nX-Server-Seal: a\r\nX-Server-Seal: b\r\n", ""},
        spoiled_response{"with_a_signature_in_the_trailer",
                         "X-Attempt-Id: ID\r\n", "X-Server-Seal: seal\r\n"},
        spoiled_response{"with_an_id_in_the_trailer", "X-Server-Seal: seal\r\n",
                         "X-Attempt-Id: ID\r\n"},
        spoiled_response{"without_id", "X-Server-Seal: seal\r\n", ""},
        spoiled_response{
            "with_two_ids",
            "X-Attempt-Id: ID\r\nX-Attempt-Id: other\r\nX-Server-Seal: a\r\n",
            ""},
        spoiled_response{"with_an_encoding",
                         "X-Attempt-Id: ID\r\nX-Server-Seal: seal\r\n"
                         "Content-Encoding: gzip\r\n",
                         ""},
        spoiled_response{"without_signature_as_206", "X-Attempt-Id: ID\r\n", "",
                         206},
        spoiled_response{"that_promises_without_proof", "", "", 503},
        spoiled_response{"that_redirects_without_id", "", "", 302}),
    [](const auto& tested) { return tested.param.name; });

using unsigned_failure = response_fixture;

scripted_server::script fail_with(const std::string& fields)
{
    return [=](test_connection& connection)
    {
        connection.read_message();
        connection.send(concat("HTTP/1.1 500 Failed\r\n", fields,
                               "Content-Length: 4\r\n\r\nwhat"));
    };
}

TEST_F(unsigned_failure, is_passed_on)
{
    const scripted_server server(fail_with("X-Attempt-Id: 1\r\n"));
    add_server("a", server);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 500 ")) << response;
    EXPECT_TRUE(response.ends_with("what")) << response;
}

// An upstream may fail a request before it has read its id.
TEST_F(unsigned_failure, without_an_id_is_passed_on)
{
    const scripted_server server(fail_with(""));
    add_server("a", server);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 500 ")) << response;
    EXPECT_TRUE(response.ends_with("what")) << response;
}

// Guards against continuing a stream with the events of a redirection, which
// carries no signature.
TEST_F(unsigned_failure, continues_no_stream)
{
    expect_broken_stream(
        [](const std::string& id)
        {
            return concat("HTTP/1.1 302 Found\r\nX-Attempt-Id: ", id,
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          event_chunk(2, spoiled_body), last_chunk);
        });
}

TEST_F(unsigned_failure, with_a_notice_is_heard)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(concat("HTTP/1.1 500 Failed\r\nX-Attempt-Id: ", id,
                                   "\r\nServer-Leaving: 1\r\n"
                                   "Content-Length: 0\r\n\r\n"));
        });
    add_server("a", server);
    fetch("/unsafe/x");
    EXPECT_TRUE(contains(fetch("/unsafe/x"), "HTTP/1.1 503 "));
    EXPECT_EQ(server.requests(), 1);
}

TEST_F(unsigned_failure, and_a_success_of_another_request_has_no_notices)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            while (true)
            {
                const auto request = connection.read_message();
                if (request.empty())
                {
                    return;
                }
                connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                "Server-Leaving: 1\r\n"
                                "Content-Length: 4\r\n\r\nlate" +
                                make_response(id_of(request), "good"));
            }
        });
    add_server("a", server);
    EXPECT_TRUE(fetch("/unsafe/x").ends_with("good"));
    EXPECT_TRUE(fetch("/unsafe/x").ends_with("good"));
}

} // namespace
} // namespace daleshelf
