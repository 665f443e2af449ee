/// @file
/// One connection of a client.
#pragma once

#include "gateway_state.hpp"
#include "request_flow.hpp"

#include <memory>
#include <wire/message_parser.hpp>

namespace daleshelf
{

/// Reads requests from one connection and serves them one after the other.
class client_session : public std::enable_shared_from_this<client_session>
{
public:
    client_session(gateway_state& state, asio::ip::tcp::socket socket);

    /// Serves the connection until it ends.
    awaitable<void> run();

    /// Ends the connection if it rests; a planned stop.
    void close_if_idle();

    /// Ends the connection if its client has not taken bytes for too long.
    void close_if_stalled(monotonic::time_point now);

    /// Ends the connection at once.
    void close()
    {
        m_channel->close();
    }

private:
    awaitable<bool> read_request(client_request& request);
    awaitable<bool> serve(client_request request);
    awaitable<void> reject(int status);
    awaitable<void> reject_unreadable(const parse_error& error);

    gateway_state& m_state;
    std::shared_ptr<byte_channel> m_channel;
    request_flow* m_flow = nullptr;
    bool m_is_reading = false; ///< bytes of a request have come
};

} // namespace daleshelf
