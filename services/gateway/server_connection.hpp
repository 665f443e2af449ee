/// @file
/// Connection pool for upstreams.
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

/// A connection to an upstream.
struct server_connection
{
    std::shared_ptr<byte_channel> channel;
    upstream_id server;
    host_id relay; ///< peer that it goes through; empty: it is direct
    monotonic::time_point idle_since{};
    milliseconds idle_limit{0}; ///< as stated by the upstream; 0: not stated
};

/// Why a connection could not be opened.
enum class connect_error
{
    none,
    refused,   ///< the port refuses connections
    timed_out, ///< nothing answered in time
    failed,    ///< any other error
    no_path,   ///< own links are cut, and no peer relays
};

/// @return the name of the error in the log
[[nodiscard]] std::string_view name_of(connect_error error);

/// Result of opening a connection to an upstream.
struct server_connect_result
{
    std::unique_ptr<server_connection> connection; ///< null if it failed
    connect_error error = connect_error::none;
};

/// Pools idle connections to upstreams for reuse.
class connection_pool
{
public:
    using failure_listener =
        std::function<void(const upstream_id& server, bool is_refused)>;

    explicit connection_pool(asio::io_context& context) : m_context(context) {}

    /// Sets the listener called when an upstream refuses a connection or closes
    /// an idle pooled one.
    void set_failure_listener(failure_listener listener)
    {
        m_failure_listener = std::move(listener);
    }

    /// Takes an idle connection from the pool.
    /// @param is_repeatable whether the request can be sent again if the
    /// upstream closes the connection while the request is on its way
    /// @param requires_relay whether direct connections are left out
    /// @return the connection, or null if none is usable
    [[nodiscard]] std::unique_ptr<server_connection>
    take(const upstream_id& server, bool is_repeatable,
         bool requires_relay = false);

    /// Opens a new connection.
    /// @param deadline when the attempt fails
    awaitable<server_connect_result> connect(const server_entry& server,
                                             monotonic::time_point deadline);

    /// Returns a connection to the pool after a complete response.
    void keep(std::unique_ptr<server_connection> connection);

    /// Closes connections whose idle limit has expired.
    void sweep(monotonic::time_point now);

    /// Closes the idle connections to an upstream that has left.
    void drop(const upstream_id& server);

    /// Closes the idle connections through a peer that is to stop.
    void drop_relayed_by(const host_id& peer);

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
/// @return the endpoint, or nothing if the text is invalid
[[nodiscard]] std::optional<asio::ip::tcp::endpoint>
parse_endpoint(const std::string& text);

/// Result of opening a connection.
struct connect_result
{
    std::shared_ptr<byte_channel> channel; ///< null if the connect failed
    connect_error error = connect_error::none;
};

/// Opens a connection, and starts the channel that reads it.
awaitable<connect_result> connect_channel(asio::io_context& context,
                                          asio::ip::tcp::endpoint endpoint,
                                          monotonic::time_point deadline);

/// Sets keep-alive and timeout options so that a connection fails within three
/// seconds when its peer stops acknowledging, as after a power loss or behind a
/// network cut, and survives two seconds of silence.
void detect_silent_peer(asio::ip::tcp::socket& socket);

} // namespace daleshelf
