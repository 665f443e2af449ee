#include "server_connection.hpp"

#include <base/text.hpp>
#include <netinet/tcp.h>

namespace daleshelf
{

namespace
{

// A request sent this close to the upstream's idle limit can race its close.
constexpr milliseconds idle_close_margin{900};
constexpr milliseconds default_idle_limit{4000};
// Requests that are not repeatable only use connections idle for less.
constexpr milliseconds unrepeatable_idle_limit{1500};

void set_integer_option(asio::ip::tcp::socket& socket, int level, int name,
                        int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

// @param is_open whether the socket was not closed at the deadline
connect_error error_of(const error_code& error, bool is_open)
{
    if (!is_open || error == asio::error::timed_out)
    {
        return connect_error::timed_out;
    }
    if (error == asio::error::connection_refused)
    {
        return connect_error::refused;
    }
    return error ? connect_error::failed : connect_error::none;
}

milliseconds usable_idle_time(const server_connection& connection,
                              bool is_repeatable)
{
    const auto limit = connection.idle_limit.count() > 0
                           ? connection.idle_limit - idle_close_margin
                           : default_idle_limit - idle_close_margin;
    return is_repeatable ? limit : std::min(limit, unrepeatable_idle_limit);
}

} // namespace

std::string_view name_of(connect_error error)
{
    switch (error)
    {
    case connect_error::none:
        return "";
    case connect_error::refused:
        return "refused";
    case connect_error::timed_out:
        return "timed_out";
    case connect_error::failed:
        return "failed";
    case connect_error::no_path:
        return "no_path";
    }
    return "";
}

std::unique_ptr<server_connection>
connection_pool::take(const upstream_id& server, bool is_repeatable,
                      bool requires_relay)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
    {
        return nullptr;
    }
    const auto now = monotonic::now();
    auto& connections = found->second;
    while (!connections.empty())
    {
        auto& newest = connections.back();
        const auto age = now - newest->idle_since;
        const bool is_usable = newest->channel->is_idle();
        if (is_usable && age > usable_idle_time(*newest, is_repeatable))
        {
            // The others have been idle for longer still.
            return nullptr;
        }
        if (requires_relay && newest->relay.value().empty())
        {
            // The older ones are direct too, or about to expire.
            return nullptr;
        }
        auto taken = std::move(newest);
        connections.pop_back();
        taken->channel->set_close_handler(nullptr);
        if (is_usable)
        {
            return taken;
        }
        taken->channel->close();
    }
    return nullptr;
}

awaitable<server_connect_result>
connection_pool::connect(const server_entry& server,
                         monotonic::time_point deadline)
{
    server_connect_result result;
    const auto endpoint = parse_endpoint(server.address);
    if (!endpoint)
    {
        result.error = connect_error::failed;
        co_return result;
    }
    const auto id = server.id;
    ++m_connections_made;
    const auto made = co_await connect_channel(m_context, *endpoint, deadline);
    result.error = made.error;
    if (made.channel == nullptr)
    {
        if (made.error == connect_error::refused)
        {
            notify_failure(id, true);
        }
        co_return result;
    }
    result.connection = std::make_unique<server_connection>();
    result.connection->server = id;
    result.connection->channel = made.channel;
    co_return result;
}

void connection_pool::keep(std::unique_ptr<server_connection> connection)
{
    if (!connection->channel->is_idle())
    {
        connection->channel->close();
        return;
    }
    connection->idle_since = monotonic::now();
    connection->channel->set_close_handler([this, server = connection->server]
                                           { notify_failure(server, false); });
    m_idle[connection->server].push_back(std::move(connection));
}

void connection_pool::sweep(monotonic::time_point now)
{
    for (auto& [server, connections] : m_idle)
    {
        std::erase_if(connections,
                      [&](const auto& connection)
                      {
                          const bool is_expired =
                              now - connection->idle_since >
                              usable_idle_time(*connection, true);
                          if (connection->channel->is_idle() && !is_expired)
                          {
                              return false;
                          }
                          connection->channel->set_close_handler(nullptr);
                          connection->channel->close();
                          return true;
                      });
    }
    absl::erase_if(m_idle,
                   [](const auto& entry) { return entry.second.empty(); });
}

void connection_pool::drop(const upstream_id& server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
    {
        return;
    }
    for (auto& connection : found->second)
    {
        connection->channel->set_close_handler(nullptr);
        connection->channel->close();
    }
    m_idle.erase(found);
}

void connection_pool::drop_relayed_by(const host_id& peer)
{
    for (auto& [server, connections] : m_idle)
    {
        std::erase_if(connections,
                      [&](const auto& connection)
                      {
                          if (connection->relay != peer)
                          {
                              return false;
                          }
                          connection->channel->set_close_handler(nullptr);
                          connection->channel->close();
                          return true;
                      });
    }
}

void connection_pool::notify_failure(const upstream_id& server, bool is_refused)
{
    if (m_failure_listener)
    {
        m_failure_listener(server, is_refused);
    }
}

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    constexpr std::int64_t highest_port = 65535;
    const auto port = parse_integer(text.substr(colon + 1));
    if (!port || *port < 0 || *port > highest_port)
    {
        return std::nullopt;
    }
    error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error)
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, static_cast<unsigned short>(*port));
}

awaitable<connect_result> connect_channel(asio::io_context& context,
                                          asio::ip::tcp::endpoint endpoint,
                                          monotonic::time_point deadline)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(context);
    boot_timer timer(context, deadline);
    timer.async_wait(
        [socket](const error_code& error)
        {
            if (!error)
            {
                error_code ignored;
                socket->close(ignored);
            }
        });
    const auto [error] = co_await socket->async_connect(endpoint, use_result);
    timer.cancel();
    connect_result result;
    result.error = error_of(error, socket->is_open());
    if (result.error != connect_error::none)
    {
        co_return result;
    }
    detect_silent_peer(*socket);
    result.channel = std::make_shared<byte_channel>(std::move(*socket));
    result.channel->start();
    co_return result;
}

void detect_silent_peer(asio::ip::tcp::socket& socket)
{
    // A sound peer can be silent for a second or two. On Linux this timeout
    // also overrides the keep-alive probe count.
    constexpr int unacknowledged_ms = 2500;
    constexpr int idle_seconds = 1;
    constexpr int probe_count = 2;
    set_integer_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                       unacknowledged_ms);
    set_integer_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_integer_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds);
    set_integer_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_integer_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

} // namespace daleshelf
