#include "message_writer.hpp"

#include <base/text.hpp>

namespace daleshelf
{

void write_field(std::string& out, std::string_view name,
                 std::string_view value)
{
    append_text(out, name, ": ", value, "\r\n");
}

void write_start_line(std::string& out, const request_head& head)
{
    append_text(out, head.method, " ", head.target, " HTTP/1.1\r\n");
}

void write_status_line(std::string& out, int status, std::string_view reason)
{
    append_text(out, "HTTP/1.1 ", status, " ", reason, "\r\n");
}

void write_head_end(std::string& out)
{
    out += "\r\n";
}

void write_chunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    append_text(out, to_hexadecimal(bytes.size()), "\r\n", bytes, "\r\n");
}

void write_last_chunk(std::string& out)
{
    out += "0\r\n\r\n";
}

} // namespace daleshelf
