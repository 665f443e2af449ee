/// @file
/// A client connection.
#pragma once

#include "gateway_state.hpp"
#include "request_flow.hpp"

#include <memory>
#include <wire/message_parser.hpp>

namespace daleshelf
{

/// Reads requests from one client connection and serves them sequentially.
class client_session : public std::enable_shared_from_this<client_session>
{
public:
    client_session(gateway_state& state, asio::ip::tcp::socket socket);

    /// Serves the connection until it is closed.
    awaitable<void> run();

    /// Closes the connection if no request is in progress; used to drain.
    void close_if_idle();

    /// Closes the connection if a write has been stalled for too long.
    void close_if_stalled(monotonic::time_point now);

    /// Ends the request in progress as at its deadline.
    void expire();

    /// Closes the connection at once.
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
    bool m_is_reading = false; ///< a request is partly received
};

} // namespace daleshelf
