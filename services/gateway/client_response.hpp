/// @file
/// The response to one client request.
#pragma once

#include "byte_channel.hpp"

#include <string>
#include <string_view>
#include <wire/message_head.hpp>

namespace daleshelf
{

/// What the request allows in its response.
struct response_constraints
{
    bool allows_keep_alive = true; ///< the connection can be reused
    bool allows_chunked = true;    ///< the client speaks HTTP/1.1
    bool omits_body = false;       ///< the request is HEAD
};

/// Writes the response to one request on the client's connection. All writing
/// functions return whether the client accepted the bytes.
class client_response
{
public:
    client_response(byte_channel& channel,
                    const response_constraints& constraints)
        : m_channel(channel), m_constraints(constraints)
    {
    }

    /// Sends a complete response from an upstream.
    awaitable<bool> send_complete(const response_head& head, std::string body);

    /// Sends a response without a body that the gateway itself generates.
    /// @param extra serialized header fields
    awaitable<bool> send_local(int status, std::string_view extra);

    /// Begins a streamed response with its head and first piece.
    awaitable<bool> begin(const response_head& head, std::string piece);

    /// Sends the next piece of a streamed response.
    awaitable<bool> append(std::string piece);

    /// Ends a streamed response.
    awaitable<bool> finish();

    /// Closes the connection so that the client sees an incomplete response.
    void abort();

    [[nodiscard]] bool has_begun() const
    {
        return m_has_begun;
    }

    /// @return whether the connection can carry another request
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
