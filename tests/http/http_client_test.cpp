#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <base/text.hpp>
#include <http/http_client.hpp>
#include <thread>

namespace daleshelf
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// How a server closes its connection.
enum class closing
{
    in_order,
    by_reset,
};

/// A server that sends the same bytes to each connection and closes it.
class closing_server
{
public:
    closing_server()
        : m_acceptor(m_context,
                     tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
    }

    /// Fetches a document that is answered with these bytes.
    /// @throws std::runtime_error if no whole answer came
    http_response fetch(const std::string& method, const std::string& bytes,
                        closing how)
    {
        std::thread server([&] { serve(bytes, how); });
        http_client_request request;
        request.method = method;
        request.url =
            concat("http://127.0.0.1:", m_acceptor.local_endpoint().port());
        request.reuse = connection_reuse::forbidden;
        request.timeout = std::chrono::milliseconds(10000);
        http_response response;
        std::string error;
        try
        {
            response = m_client.fetch(std::move(request));
        }
        catch (const std::runtime_error& failed)
        {
            error = failed.what();
        }
        server.join();
        if (!error.empty())
        {
            throw std::runtime_error(error);
        }
        return response;
    }

private:
    void serve(const std::string& bytes, closing how)
    {
        auto socket = m_acceptor.accept();
        std::string request;
        boost::system::error_code ignored;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                         ignored);
        asio::write(socket, asio::buffer(bytes), ignored);
        if (how == closing::by_reset)
        {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    http_client m_client;
};

// Guards against a truncated head that is reported as a complete response with
// an empty body.
TEST(http_client, a_head_that_stops_is_no_response)
{
    closing_server server;
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n"})
    {
        for (std::size_t size = 0; size < head.size(); ++size)
        {
            for (const auto* method : {"GET", "POST", "HEAD"})
            {
                EXPECT_THROW((void)server.fetch(method, head.substr(0, size),
                                                closing::in_order),
                             std::runtime_error)
                    << method << " after " << head.substr(0, size);
            }
            EXPECT_THROW((void)server.fetch("GET", head.substr(0, size),
                                            closing::by_reset),
                         std::runtime_error)
                << "reset after " << head.substr(0, size);
        }
    }
}

// Guards against a response whose status is none of HTTP, and against one that
// is read as an informational one.
TEST(http_client, a_status_outside_100_to_599_is_no_response)
{
    closing_server server;
    for (const std::string status : {"000", "001", "099", "600", "999"})
    {
        EXPECT_THROW(
            (void)server.fetch("GET",
                               concat("HTTP/1.1 ", status,
                                      " OK\r\nContent-Length: 4\r\n\r\nbody"),
                               closing::in_order),
            std::runtime_error)
            << status;
    }
}

// Guards against a head of which a line is dropped or read as another field.
TEST(http_client, a_field_that_is_malformed_is_no_response)
{
    closing_server server;
    for (const std::string line :
         {"X A: b", "X-A : b", " X-A: b", "\tX-A: b", "X-\x01: b", "X\x7f: b",
          "X-\xe4: b", ": b", "no colon", "X-A: b\x01", "X-A: b\x7f"})
    {
        EXPECT_THROW(
            (void)server.fetch("GET",
                               concat("HTTP/1.1 200 OK\r\nX-First: 1\r\n", line,
                                      "\r\nContent-Length: 4\r\n\r\nbody"),
                               closing::in_order),
            std::runtime_error)
            << line;
    }
}

TEST(http_client, a_whole_head_is_a_response)
{
    closing_server server;
    const auto response = server.fetch(
        "GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
        closing::in_order);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "body");
}

} // namespace
} // namespace daleshelf
