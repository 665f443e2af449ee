#include "client_response.hpp"

#include <base/text.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

bool is_framing_field(std::string_view name)
{
    return same_name(name, "Content-Length") ||
           same_name(name, "Transfer-Encoding");
}

} // namespace

awaitable<bool> client_response::send_complete(const response_head& head,
                                               std::string body)
{
    m_has_begun = true;
    m_status = head.status;
    auto bytes = build_head(head);
    const auto* length = head.fields.find("Content-Length");
    if (m_constraints.omits_body && length != nullptr)
    {
        write_field(bytes, "Content-Length", *length);
    }
    else
    {
        write_field(bytes, "Content-Length", std::to_string(body.size()));
    }
    write_head_end(bytes);
    bytes += body;
    co_return co_await write(bytes);
}

awaitable<bool> client_response::send_local(int status, std::string_view extra)
{
    m_has_begun = true;
    m_status = status;
    std::string bytes;
    write_status_line(bytes, status, reason_phrase(status));
    bytes += extra;
    write_field(bytes, "Content-Length", "0");
    if (!m_constraints.allows_keep_alive)
    {
        write_field(bytes, "Connection", "close");
    }
    write_head_end(bytes);
    co_return co_await write(bytes);
}

awaitable<bool> client_response::begin(const response_head& head,
                                       std::string piece)
{
    m_has_begun = true;
    m_status = head.status;
    if (!m_constraints.allows_chunked)
    {
        m_constraints.allows_keep_alive = false;
    }
    auto bytes = build_head(head);
    if (m_constraints.allows_chunked)
    {
        write_field(bytes, "Transfer-Encoding", "chunked");
        write_head_end(bytes);
        write_chunk(bytes, piece);
    }
    else
    {
        write_head_end(bytes);
        bytes += piece;
    }
    // A client that reads slowly holds up the write.
    release_memory(piece);
    co_return co_await write(bytes);
}

awaitable<bool> client_response::append(std::string piece)
{
    if (!m_constraints.allows_chunked)
    {
        co_return co_await write(piece);
    }
    std::string bytes;
    write_chunk(bytes, piece);
    release_memory(piece);
    co_return co_await write(bytes);
}

awaitable<bool> client_response::finish()
{
    if (!m_constraints.allows_chunked)
    {
        co_return true;
    }
    std::string bytes;
    write_last_chunk(bytes);
    co_return co_await write(bytes);
}

void client_response::abort()
{
    m_constraints.allows_keep_alive = false;
    if (!m_constraints.allows_chunked)
    {
        // Without framing, an orderly close would look like a complete body.
        m_channel.reset();
        return;
    }
    m_channel.close();
}

std::string client_response::build_head(const response_head& head) const
{
    std::string bytes;
    write_status_line(bytes, head.status, head.reason);
    for (const auto& field : head.fields.fields)
    {
        if (is_framing_field(field.name) ||
            is_hop_by_hop(head.fields, field.name))
        {
            continue;
        }
        write_field(bytes, field.name, field.value);
    }
    if (!m_constraints.allows_keep_alive)
    {
        write_field(bytes, "Connection", "close");
    }
    return bytes;
}

awaitable<bool> client_response::write(std::string_view bytes)
{
    const auto result = co_await m_channel.write(bytes);
    co_return result.is_complete;
}

} // namespace daleshelf
