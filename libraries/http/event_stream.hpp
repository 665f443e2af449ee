/// @file
/// Server-sent events (HTML Living Standard, section 9.2).
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// One event of a stream.
struct server_sent_event
{
    std::string event; ///< empty for the default type
    std::string id;
    std::string data;
};

/// @param event the event to write
/// @return its text, ended by an empty line
[[nodiscard]] std::string to_event_stream(const server_sent_event& event);

/// Takes a stream's bytes in pieces of any size and gives whole events.
class event_stream_parser
{
public:
    /// @param bytes the next bytes of the stream
    /// @return the events that are whole now
    [[nodiscard]] std::vector<server_sent_event> feed(std::string_view bytes);

private:
    void take_line(std::string_view line,
                   std::vector<server_sent_event>& events);

    std::string m_rest;
    server_sent_event m_event;
    bool m_has_data = false;
};

} // namespace daleshelf
