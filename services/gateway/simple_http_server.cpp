#include "simple_http_server.hpp"

#include "server_connection.hpp"

#include <stdexcept>
#include <wire/message_parser.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

constexpr std::uint32_t max_head_bytes = 8192;
constexpr std::uint64_t max_body_bytes = 65536;
constexpr std::chrono::seconds idle_timeout{30};
constexpr milliseconds accept_retry_delay{100};

} // namespace

asio::ip::tcp::acceptor open_acceptor(asio::io_context& context,
                                      const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw std::invalid_argument(address + " is not IP:PORT");
    }
    return asio::ip::tcp::acceptor(context, *endpoint);
}

simple_http_server::simple_http_server(asio::io_context& context,
                                       const std::string& address,
                                       handler handle_request)
    : m_acceptor(open_acceptor(context, address))
    , m_handler(std::move(handle_request))
{
}

void simple_http_server::start()
{
    asio::co_spawn(
        m_acceptor.get_executor(), [this] { return accept_all(); },
        asio::detached);
}

awaitable<void> simple_http_server::accept_all()
{
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_result);
        if (error)
        {
            boot_timer pause(m_acceptor.get_executor(), accept_retry_delay);
            co_await pause.async_wait(use_result);
            continue;
        }
        if (m_connections.size() >= max_connections)
        {
            m_connections.front()->close();
        }
        m_connections.push_back(
            std::make_shared<byte_channel>(std::move(socket)));
        const auto connection = std::prev(m_connections.end());
        asio::co_spawn(
            m_acceptor.get_executor(),
            [this, connection] { return serve(connection); }, asio::detached);
    }
}

awaitable<void> simple_http_server::serve(connection_list::iterator connection)
{
    const auto channel = *connection;
    channel->start();
    while (true)
    {
        auto head = co_await read_request(channel);
        if (!head)
        {
            break;
        }
        if (head->method == "CONNECT" && m_tunnel_handler)
        {
            m_connections.erase(connection);
            co_await m_tunnel_handler(std::move(*head), channel);
            co_return;
        }
        const bool is_kept_alive = co_await respond(channel, std::move(*head));
        if (!is_kept_alive)
        {
            break;
        }
        m_connections.splice(m_connections.end(), m_connections, connection);
    }
    m_connections.erase(connection);
    channel->close();
}

// Reads a request, whose body is discarded.
// @return its head, or nothing if the connection is to be closed
awaitable<std::optional<request_head>>
simple_http_server::read_request(std::shared_ptr<byte_channel> channel)
{
    request_parser parser(max_head_bytes, max_body_bytes);
    try
    {
        while (channel->connection_state() == channel_state::open)
        {
            channel->consume(parser.feed(channel->input()));
            (void)parser.take_body();
            if (parser.is_complete())
            {
                co_return parser.take_head();
            }
            const bool has_input =
                co_await channel->wait_input(monotonic::now() + idle_timeout);
            if (!has_input)
            {
                break;
            }
        }
    }
    catch (const parse_error&)
    {
        // What cannot be read gets no response.
    }
    co_return std::nullopt;
}

// @return whether the connection can carry another request
awaitable<bool>
simple_http_server::respond(std::shared_ptr<byte_channel> channel,
                            request_head head)
{
    const auto response = m_handler(head.target);
    std::string bytes;
    write_status_line(bytes, response.status, reason_phrase(response.status));
    write_field(bytes, "Content-Type", response.content_type);
    write_field(bytes, "Content-Length", std::to_string(response.body.size()));
    write_head_end(bytes);
    bytes += response.body;
    const auto sent = co_await channel->write(bytes);
    co_return sent.is_complete&& keeps_connection(head.fields, head.version);
}

} // namespace daleshelf
