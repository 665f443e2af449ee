/// @file
/// Writes HTTP/1.1 messages as bytes, free of I/O.
#pragma once

#include "message_head.hpp"

#include <string>
#include <string_view>

namespace daleshelf
{

/// Appends one header field.
void write_field(std::string& out, std::string_view name,
                 std::string_view value);

/// Begins a request.
/// @param head method and target; its fields are not written
void write_start_line(std::string& out, const request_head& head);

/// Begins an answer.
void write_status_line(std::string& out, int status, std::string_view reason);

/// Ends a head.
void write_head_end(std::string& out);

/// Appends one chunk of a chunked body; an empty one writes nothing.
void write_chunk(std::string& out, std::string_view bytes);

/// Ends a chunked body.
void write_last_chunk(std::string& out);

} // namespace daleshelf
