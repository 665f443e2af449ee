/// @file
/// Kept connections to servers.
#pragma once

#include "byte_channel.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <ingress/server_directory.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace daleshelf
{

/// One connection to one server.
struct server_connection
{
    std::shared_ptr<byte_channel> channel;
    upstream_id server;
    monotonic::time_point idle_since{};
    milliseconds idle_limit{0}; ///< as the server states it
};

/// Keeps idle connections to servers for the next request.
class connection_pool
{
public:
    using failure_listener =
        std::function<void(const upstream_id& server, bool is_refused)>;

    explicit connection_pool(asio::io_context& context) : m_context(context) {}

    /// Sets who hears that a server refuses a connection, or has ended one
    /// that was kept.
    void set_failure_listener(failure_listener listener)
    {
        m_failure_listener = std::move(listener);
    }

    /// @param is_repeatable whether the request may be sent again if the
    /// server closes the connection just as the request leaves
    /// @return an idle connection, or null
    [[nodiscard]] std::unique_ptr<server_connection>
    take(const upstream_id& server, bool is_repeatable);

    /// @return a new connection, or null if there is none before the deadline
    awaitable<std::unique_ptr<server_connection>>
    connect(const server_entry& server, monotonic::time_point deadline);

    /// Keeps a connection on which an answer has ended in order.
    void keep(std::unique_ptr<server_connection> connection);

    /// Closes connections that have been idle for too long.
    void sweep(monotonic::time_point now);

    /// Closes idle connections to a server that has left.
    void drop(const upstream_id& server);

    [[nodiscard]] std::int64_t connections_made() const
    {
        return m_connections_made;
    }

private:
    void notify_failure(const upstream_id& server, bool is_refused);

    asio::io_context& m_context;
    failure_listener m_failure_listener;
    absl::flat_hash_map<upstream_id,
                        std::vector<std::unique_ptr<server_connection>>>
        m_idle;
    std::int64_t m_connections_made = 0;
};

/// @param text IP:PORT
/// @return the endpoint, or nothing if the text is none
[[nodiscard]] std::optional<asio::ip::tcp::endpoint>
parse_endpoint(const std::string& text);

/// How opening a connection has ended.
struct connect_result
{
    std::shared_ptr<byte_channel> channel; ///< null: there is none
    bool is_refused = false;               ///< nobody listens there
};

/// Opens a connection that is always read.
awaitable<connect_result> connect_channel(asio::io_context& context,
                                          asio::ip::tcp::endpoint endpoint,
                                          monotonic::time_point deadline);

/// Makes a connection fail within about a second when its peer is silent: a
/// host without power, or behind a cut, answers nothing.
void detect_silent_peer(asio::ip::tcp::socket& socket);

} // namespace daleshelf
