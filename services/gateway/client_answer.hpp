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
struct client_form
{
    bool may_keep = true;       ///< its connection may be used again
    bool takes_chunks = true;   ///< it speaks HTTP/1.1
    bool takes_no_body = false; ///< it has sent HEAD
};

/// Writes one answer to one client.
class client_answer
{
public:
    client_answer(byte_channel& channel, const client_form& form)
        : m_channel(channel), m_form(form)
    {
    }

    /// Sends a whole answer of a server.
    awaitable<bool> send_whole(const response_head& head, std::string body);

    /// Sends an answer of the gateway's own.
    /// @param extra header fields, as bytes
    awaitable<bool> send_own(int status, std::string_view extra);

    /// Begins an answer that comes in pieces.
    awaitable<bool> begin(const response_head& head, std::string_view piece);

    /// Sends the next piece.
    awaitable<bool> add(std::string_view piece);

    /// Ends an answer that came in pieces.
    awaitable<bool> finish();

    /// Ends the connection so that the answer shows as incomplete.
    void break_off();

    [[nodiscard]] bool has_begun() const
    {
        return m_has_begun;
    }

    /// @return whether the next request may come on the same connection
    [[nodiscard]] bool keeps_connection() const
    {
        return m_form.may_keep;
    }

    void set_may_keep(bool may_keep)
    {
        m_form.may_keep = may_keep;
    }

    [[nodiscard]] int status() const
    {
        return m_status;
    }

private:
    std::string head_of(const response_head& head) const;
    awaitable<bool> write(std::string_view bytes);

    byte_channel& m_channel;
    client_form m_form;
    bool m_has_begun = false;
    int m_status = 0;
};

} // namespace daleshelf
