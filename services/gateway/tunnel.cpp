#include "tunnel.hpp"

#include "gateway_state.hpp"

#include <base/http_status.hpp>
#include <base/text.hpp>
#include <wire/message_parser.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

constexpr std::uint32_t max_head_bytes = 4096;
// Within this, a peer that is not overloaded reaches any sound upstream.
constexpr milliseconds relay_connect_timeout{200};
// A copy waits for input without a limit: the ends detect a silent peer.
constexpr std::chrono::hours wait_interval{1};

std::string connect_request(const server_entry& server)
{
    const auto port = server.address.substr(
        std::min(server.address.rfind(':'), server.address.size()));
    request_head head;
    head.method = "CONNECT";
    head.target = concat(server.id.value(), port);
    std::string bytes;
    write_start_line(bytes, head);
    write_field(bytes, "Host", head.target);
    write_head_end(bytes);
    return bytes;
}

tunnel_status status_of(int status)
{
    switch (status)
    {
    case http_status::ok:
        return tunnel_status::connected;
    case http_status::bad_gateway:
        return tunnel_status::upstream_unreachable;
    default:
        return tunnel_status::peer_unavailable;
    }
}

// @return the response's status, or 0 if there was none before the deadline
awaitable<int> read_status(std::shared_ptr<byte_channel> channel,
                           monotonic::time_point deadline)
{
    response_parser parser(max_head_bytes);
    parser.expect_no_body();
    try
    {
        while (true)
        {
            channel->consume(parser.feed(channel->input()));
            if (parser.has_head())
            {
                co_return parser.take_head().status;
            }
            if (channel->connection_state() != channel_state::open)
            {
                co_return 0;
            }
            const bool has_input = co_await channel->wait_input(deadline);
            if (!has_input)
            {
                co_return 0;
            }
        }
    }
    catch (const parse_error&)
    {
        co_return 0;
    }
}

// Copies bytes until the source closes, and closes the target likewise: a reset
// must not look like the orderly end of a response.
awaitable<void> copy(std::shared_ptr<byte_channel> source,
                     std::shared_ptr<byte_channel> target)
{
    while (true)
    {
        if (!source->input().empty())
        {
            const std::string bytes(source->input());
            source->consume(bytes.size());
            const auto written = co_await target->write(bytes);
            if (!written.is_complete)
            {
                source->reset();
                co_return;
            }
            continue;
        }
        if (source->connection_state() == channel_state::finished)
        {
            target->close();
            source->close();
            co_return;
        }
        if (source->connection_state() == channel_state::broken)
        {
            target->reset();
            co_return;
        }
        co_await source->wait_input(monotonic::now() + wait_interval);
    }
}

} // namespace

awaitable<tunnel_result> open_tunnel(asio::io_context& context,
                                     std::string peer_address,
                                     server_entry server,
                                     monotonic::time_point deadline)
{
    tunnel_result result;
    const auto endpoint = parse_endpoint(peer_address);
    if (!endpoint)
    {
        co_return result;
    }
    const auto made = co_await connect_channel(context, *endpoint, deadline);
    result.is_slow = made.error == connect_error::timed_out;
    if (made.channel == nullptr)
    {
        co_return result;
    }
    const auto request = connect_request(server);
    co_await made.channel->write(request, deadline);
    const auto status = co_await read_status(made.channel, deadline);
    result.is_slow = status == 0;
    result.status = status_of(status);
    if (result.status != tunnel_status::connected)
    {
        made.channel->reset();
        co_return result;
    }
    result.channel = made.channel;
    co_return result;
}

awaitable<void> tunnel_server::serve(request_head head,
                                     std::shared_ptr<byte_channel> peer)
{
    detect_silent_peer(peer->socket());
    const upstream_id id(head.target.substr(0, head.target.rfind(':')));
    const auto* listed = m_state.servers.find(id);
    const auto rejection = rejection_status(listed);
    if (rejection != 0)
    {
        co_await respond(peer, rejection);
        co_return;
    }
    const auto server = *listed;
    auto result = co_await m_state.upstreams.connect_directly(
        server, monotonic::now() + relay_connect_timeout);
    if (result.connection == nullptr)
    {
        co_await respond(peer, http_status::bad_gateway);
        co_return;
    }
    const auto upstream = result.connection->channel;
    ++m_open_count;
    co_await respond(peer, http_status::ok);
    asio::co_spawn(
        m_state.context, [peer, upstream] { return copy(peer, upstream); },
        asio::detached);
    co_await copy(upstream, peer);
    --m_open_count;
}

// @return the status of the rejection, or 0 if the connection is relayed
int tunnel_server::rejection_status(const server_entry* server) const
{
    if (server == nullptr || !m_state.servers.is_usable(server->id))
    {
        return http_status::not_found;
    }
    const bool can_relay =
        !m_state.is_stopping &&
        !m_state.upstreams.links().is_relayed(server->service);
    return can_relay ? 0 : http_status::unavailable;
}

awaitable<void> tunnel_server::respond(std::shared_ptr<byte_channel> peer,
                                       int status)
{
    std::string bytes;
    write_status_line(bytes, status, reason_phrase(status));
    if (status != http_status::ok)
    {
        write_field(bytes, "Content-Length", "0");
    }
    write_head_end(bytes);
    co_await peer->write(bytes);
}

} // namespace daleshelf
