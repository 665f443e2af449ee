#include "event_stream.hpp"

#include <utility>

namespace daleshelf
{

std::string to_event_stream(const server_sent_event& event)
{
    std::string text;
    if (!event.event.empty())
    {
        text += "event: " + event.event + "\n";
    }
    if (!event.id.empty())
    {
        text += "id: " + event.id + "\n";
    }
    text += "data: " + event.data + "\n\n";
    return text;
}

std::vector<server_sent_event> event_stream_parser::feed(std::string_view bytes)
{
    std::vector<server_sent_event> events;
    m_rest += bytes;
    std::size_t start = 0;
    while (true)
    {
        const auto end = m_rest.find('\n', start);
        if (end == std::string::npos)
        {
            break;
        }
        std::string_view line(m_rest.data() + start, end - start);
        if (!line.empty() && line.back() == '\r')
        {
            line.remove_suffix(1);
        }
        take_line(line, events);
        start = end + 1;
    }
    m_rest.erase(0, start);
    return events;
}

void event_stream_parser::take_line(std::string_view line,
                                    std::vector<server_sent_event>& events)
{
    if (line.empty())
    {
        if (m_has_data)
        {
            events.push_back(std::move(m_event));
        }
        m_event = {};
        m_has_data = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == 0)
    {
        return; // a comment
    }
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view()
                                                 : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
    {
        value.remove_prefix(1);
    }
    if (field == "data")
    {
        if (m_has_data)
        {
            m_event.data += '\n';
        }
        m_event.data += value;
        m_has_data = true;
    }
    else if (field == "id")
    {
        m_event.id = value;
    }
    else if (field == "event")
    {
        m_event.event = value;
    }
}

} // namespace daleshelf
