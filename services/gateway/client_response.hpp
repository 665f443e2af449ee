/// @file
/// Where the answer to one request goes.
#pragma once

#include "byte_channel.hpp"

#include <string>
#include <string_view>
#include <wire/message_head.hpp>

namespace daleshelf
{

/// What the client allows of its answer's form.
struct response_constraints
{
    bool allows_keep_alive = true; ///< its connection may be used again
    bool allows_chunked = true;    ///< it speaks HTTP/1.1
    bool omits_body = false;       ///< it has sent HEAD
};

/// Writes one answer to one client.
class client_response
{
public:
    client_response(byte_channel& channel,
                    const response_constraints& constraints)
        : m_channel(channel), m_constraints(constraints)
    {
    }

    /// Sends a whole answer of a server.
    awaitable<bool> send_complete(const response_head& head, std::string body);

    /// Sends an answer of the gateway's own.
    /// @param extra header fields, as bytes
    awaitable<bool> send_local(int status, std::string_view extra);

    /// Begins an answer that comes in pieces.
    awaitable<bool> begin(const response_head& head, std::string_view piece);

    /// Sends the next piece.
    awaitable<bool> append(std::string_view piece);

    /// Ends an answer that came in pieces.
    awaitable<bool> finish();

    /// Ends the connection so that the answer shows as incomplete.
    void abort();

    [[nodiscard]] bool has_begun() const
    {
        return m_has_begun;
    }

    /// @return whether the next request may come on the same connection
    [[nodiscard]] bool keeps_alive() const
    {
        return m_constraints.allows_keep_alive;
    }

    void set_allows_keep_alive(bool allows_keep_alive)
    {
        m_constraints.allows_keep_alive = allows_keep_alive;
    }

    [[nodiscard]] int status() const
    {
        return m_status;
    }

private:
    std::string build_head(const response_head& head) const;
    awaitable<bool> write(std::string_view bytes);

    byte_channel& m_channel;
    response_constraints m_constraints;
    bool m_has_begun = false;
    int m_status = 0;
};

} // namespace daleshelf
