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
        auto accepted =
            std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        asio::co_spawn(
            m_acceptor.get_executor(),
            [this, accepted] { return serve(std::move(*accepted)); },
            asio::detached);
    }
}

awaitable<void> simple_http_server::serve(asio::ip::tcp::socket socket)
{
    const auto channel = std::make_shared<byte_channel>(std::move(socket));
    channel->start();
    bool is_kept_alive = true;
    while (is_kept_alive && channel->connection_state() == channel_state::open)
    {
        request_parser parser(max_head_bytes, max_body_bytes);
        try
        {
            while (!parser.is_complete())
            {
                channel->consume(parser.feed(channel->input()));
                if (parser.is_complete())
                {
                    break;
                }
                const bool has_input = co_await channel->wait_input(
                    monotonic::now() + idle_timeout);
                if (!has_input ||
                    channel->connection_state() != channel_state::open)
                {
                    channel->close();
                    co_return;
                }
            }
        }
        catch (const parse_error&)
        {
            break;
        }
        const auto head = parser.take_head();
        if (head.method == "CONNECT" && m_tunnel_handler)
        {
            co_await m_tunnel_handler(head, channel);
            co_return;
        }
        is_kept_alive = keeps_connection(head.fields, head.version);
        const auto response = m_handler(head.target);
        std::string bytes;
        write_status_line(bytes, response.status,
                          reason_phrase(response.status));
        write_field(bytes, "Content-Type", response.content_type);
        write_field(bytes, "Content-Length",
                    std::to_string(response.body.size()));
        write_head_end(bytes);
        bytes += response.body;
        const auto sent = co_await channel->write(bytes);
        is_kept_alive = is_kept_alive && sent.is_complete;
    }
    channel->close();
}

} // namespace daleshelf
