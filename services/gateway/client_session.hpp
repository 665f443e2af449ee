/// @file
/// A client connection.
#pragma once

#include "gateway_state.hpp"
#include "request_flow.hpp"

#include <ingress/request_memory_share.hpp>
#include <memory>
#include <optional>
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

    /// @return since when the open connection waits for its client: for a
    /// request, for the rest of one, or to read the response; nothing if the
    /// client waits
    [[nodiscard]] std::optional<monotonic::time_point> waiting_since() const;

    /// Ends the request in progress as at its deadline.
    void expire();

    /// Closes the connection at once.
    void close()
    {
        m_channel->close();
    }

private:
    /// Progress of a request that is being received.
    struct reading
    {
        request_parser parser;
        client_request& request;
        monotonic::time_point deadline{}; ///< of the next input
        std::size_t head_bytes = 0;
        bool has_head = false;
    };

    awaitable<bool> read_request(client_request& request);
    bool take_input(reading& progress, const ingress_limits& limits);
    bool take_body(reading& progress, const ingress_limits& limits);
    void shed();
    awaitable<bool> serve(client_request request);
    awaitable<void> reject(int status, std::string_view extra = {});
    awaitable<void> reject_unreadable(const parse_error& error);
    awaitable<void> reject_for_memory(const request_head& head);
    awaitable<void> discard_input();

    gateway_state& m_state;
    std::shared_ptr<byte_channel> m_channel;
    request_flow* m_flow = nullptr;
    client_request* m_unfinished = nullptr; ///< the request being received
    request_memory_share m_memory;
    monotonic::time_point m_waiting_since;
    bool m_is_reading = false; ///< a request is partly received
    bool m_is_shed = false;    ///< the request gave its memory to others
};

} // namespace daleshelf
