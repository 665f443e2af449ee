#include "client_answer.hpp"

#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

bool is_framing(std::string_view name)
{
    return same_name(name, "Content-Length") ||
           same_name(name, "Transfer-Encoding");
}

} // namespace

awaitable<bool> client_answer::send_whole(const response_head& head,
                                          std::string body)
{
    m_has_begun = true;
    m_status = head.status;
    auto bytes = head_of(head);
    const auto* length = head.fields.find("Content-Length");
    if (m_form.takes_no_body && length != nullptr)
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

awaitable<bool> client_answer::send_own(int status, std::string_view extra)
{
    m_has_begun = true;
    m_status = status;
    std::string bytes;
    write_status_line(bytes, status, reason_phrase(status));
    bytes += extra;
    write_field(bytes, "Content-Length", "0");
    if (!m_form.may_keep)
    {
        write_field(bytes, "Connection", "close");
    }
    write_head_end(bytes);
    co_return co_await write(bytes);
}

awaitable<bool> client_answer::begin(const response_head& head,
                                     std::string_view piece)
{
    m_has_begun = true;
    m_status = head.status;
    if (!m_form.takes_chunks)
    {
        m_form.may_keep = false;
    }
    auto bytes = head_of(head);
    if (m_form.takes_chunks)
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
    co_return co_await write(bytes);
}

awaitable<bool> client_answer::add(std::string_view piece)
{
    if (!m_form.takes_chunks)
    {
        co_return co_await write(piece);
    }
    std::string bytes;
    write_chunk(bytes, piece);
    co_return co_await write(bytes);
}

awaitable<bool> client_answer::finish()
{
    if (!m_form.takes_chunks)
    {
        co_return true;
    }
    std::string bytes;
    write_last_chunk(bytes);
    co_return co_await write(bytes);
}

void client_answer::break_off()
{
    m_form.may_keep = false;
    if (!m_form.takes_chunks)
    {
        // Without framing, an orderly close would look like the answer's end.
        m_channel.reset();
        return;
    }
    m_channel.close();
}

std::string client_answer::head_of(const response_head& head) const
{
    std::string bytes;
    write_status_line(bytes, head.status, head.reason);
    for (const auto& field : head.fields.fields)
    {
        if (is_framing(field.name) || is_hop_by_hop(head.fields, field.name))
        {
            continue;
        }
        write_field(bytes, field.name, field.value);
    }
    if (!m_form.may_keep)
    {
        write_field(bytes, "Connection", "close");
    }
    return bytes;
}

awaitable<bool> client_answer::write(std::string_view bytes)
{
    const auto result = co_await m_channel.write(bytes);
    co_return result.is_complete;
}

} // namespace daleshelf
