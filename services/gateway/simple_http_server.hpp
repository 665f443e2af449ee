/// @file
/// HTTP server for internal endpoints: readiness, metrics, records for peers.
#pragma once

#include "byte_channel.hpp"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <wire/message_head.hpp>

namespace daleshelf
{

/// Response of an internal endpoint.
struct simple_response
{
    int status = 0;
    std::string body;
    std::string content_type = "text/plain";
};

/// Opens an acceptor on an address.
/// @throws std::invalid_argument if the address is not IP:PORT
/// @throws boost::system::system_error if the address cannot be used
[[nodiscard]] asio::ip::tcp::acceptor open_acceptor(asio::io_context& context,
                                                    const std::string& address);

/// Serves requests with a handler that maps their target to a response. Each
/// new connection beyond a bound closes the one without a response for longest.
class simple_http_server
{
public:
    using handler = std::function<simple_response(const std::string& target)>;

    /// Most connections at once, tunnels aside.
    static constexpr std::size_t max_connections = 256;

    /// @param address IP:PORT
    simple_http_server(asio::io_context& context, const std::string& address,
                       handler handle_request);

    /// Handles CONNECT requests; the handler owns the connection.
    using tunnel_handler = std::function<awaitable<void>(
        request_head head, std::shared_ptr<byte_channel> channel)>;

    /// Sets the handler of CONNECT requests; without one they are rejected.
    void set_tunnel_handler(tunnel_handler handler)
    {
        m_tunnel_handler = std::move(handler);
    }

    /// @return the port that connections are accepted on
    [[nodiscard]] unsigned short port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /// Starts accepting connections.
    void start();

private:
    using connection_list = std::list<std::shared_ptr<byte_channel>>;

    awaitable<void> accept_all();
    awaitable<void> serve(connection_list::iterator connection);
    awaitable<std::optional<request_head>>
    read_request(std::shared_ptr<byte_channel> channel);
    awaitable<bool> respond(std::shared_ptr<byte_channel> channel,
                            request_head head);

    asio::ip::tcp::acceptor m_acceptor;
    handler m_handler;
    tunnel_handler m_tunnel_handler;
    /// Without tunnels; the one without a response for longest comes first.
    connection_list m_connections;
};

} // namespace daleshelf
