// Guards against clients that get a success, empty or short, when their
// upstream closes within the head of its response.
#include "gateway_fixture.hpp"

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

/// How an upstream closes its connection.
enum class closing
{
    in_order,
    by_reset,
};

/// @return heads of a success, with "ID" for the request's id
std::vector<std::string> success_heads()
{
    const std::string own = "X-Attempt-Id: ID\r\nX-Server-Seal: s\r\n";
    return {concat("HTTP/1.1 200 OK\r\n", own, "Content-Length: 5\r\n\r\n"),
            concat("HTTP/1.1 200 OK\r\n", own,
                   "Transfer-Encoding: chunked\r\n\r\n"),
            concat("HTTP/1.1 200 OK\r\n", own, "Connection: close\r\n\r\n"),
            concat("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", own,
                   "Content-Type: text/event-stream\r\n\r\n")};
}

std::string with_id(std::string text, const std::string& id)
{
    const auto at = text.find("ID");
    return at == std::string::npos ? text : text.replace(at, 2, id);
}

bool is_success(const std::string& response)
{
    return response.starts_with("HTTP/1.1 2");
}

class stopped_head : public gateway_fixture
{
protected:
    stopped_head()
    {
        configure();
    }

    // Answers each connection's first request with the present bytes.
    void answer_and_close(test_connection& connection)
    {
        const auto id = id_of(connection.read_message());
        std::string bytes;
        auto how = closing::in_order;
        {
            const std::lock_guard guard(m_mutex);
            bytes = with_id(m_bytes, id);
            how = m_closing;
        }
        connection.send(bytes);
        if (how == closing::by_reset)
        {
            connection.reset();
        }
        else
        {
            connection.close();
        }
    }

    void set_answer(std::string bytes, closing how)
    {
        const std::lock_guard guard(m_mutex);
        m_bytes = std::move(bytes);
        m_closing = how;
    }

    void expect_no_success(const std::string& method, const std::string& path)
    {
        auto request = request_for(path, std::to_string(++m_last_id));
        request.replace(0, request.find(' '), method);
        const auto client = connect();
        client->send(request);
        const auto response = method == "HEAD" ? client->read_until("\r\n\r\n")
                                               : client->read_message();
        EXPECT_FALSE(is_success(response)) << method << " " << path;
    }

    std::mutex m_mutex;
    std::string m_bytes;
    closing m_closing = closing::in_order;
    int m_last_id = 0;
};

TEST_F(stopped_head, at_any_byte_gives_no_success)
{
    const scripted_server server([this](test_connection& connection)
                                 { answer_and_close(connection); });
    for (const auto& head : success_heads())
    {
        for (std::size_t size = 0; size < head.size(); ++size)
        {
            // Health would pass over an upstream that fails every request.
            on_loop([&] { m_state.servers.remove(upstream_id("a")); });
            on_loop([&] { m_state.choice.drop_unlisted(); });
            add_server("a", server);
            SCOPED_TRACE(head.substr(0, size));
            set_answer(head.substr(0, size),
                       size % 2 == 0 ? closing::in_order : closing::by_reset);
            expect_no_success("GET", "/unsafe/x");
            expect_no_success("POST", "/stream/x");
            if (size % 4 == 0)
            {
                expect_no_success("HEAD", "/unsafe/x");
            }
            set_answer(head.substr(0, size),
                       size % 2 == 0 ? closing::by_reset : closing::in_order);
            expect_no_success("GET", "/safe/x");
        }
    }
    stop();
}

// A call whose response stops within its head has failed.
TEST_F(stopped_head, of_the_store_is_no_response)
{
    const scripted_server server([this](test_connection& connection)
                                 { answer_and_close(connection); });
    for (const auto& head : success_heads())
    {
        for (std::size_t size = 0; size < head.size(); ++size)
        {
            set_answer(head.substr(0, size),
                       size % 2 == 0 ? closing::in_order : closing::by_reset);
            EXPECT_FALSE(call(server.address(), milliseconds(5000)))
                << head.substr(0, size);
        }
    }
}

} // namespace
} // namespace daleshelf
