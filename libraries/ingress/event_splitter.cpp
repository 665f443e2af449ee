#include "event_splitter.hpp"

#include <algorithm>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

struct blank_line
{
    std::size_t position = std::string_view::npos;
    std::size_t size = 0;
};

blank_line find_blank_line(std::string_view text, std::size_t from)
{
    // A search for each kind of line end would read all that is buffered for
    // every event of a stream that has only the other kind.
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        if (text.substr(at + 1).starts_with('\n'))
        {
            return {at, 2};
        }
        if (at > from && text[at - 1] == '\r' &&
            text.substr(at + 1).starts_with("\r\n"))
        {
            return {at - 1, 4};
        }
    }
    return {};
}

bool has_name(std::string_view line, std::string_view name)
{
    return line.starts_with(name) &&
           (line.size() == name.size() || line[name.size()] == ':');
}

void add_line(stream_event& event, std::string_view line)
{
    constexpr std::string_view id_name = "id";
    constexpr std::string_view data_name = "data";
    event.has_data = event.has_data || has_name(line, data_name);
    if (!has_name(line, id_name))
    {
        return;
    }
    const auto value = line.substr(std::min(line.size(), id_name.size() + 1));
    event.id = event.has_id ? std::nullopt : parse_integer(trim(value));
    event.has_id = true;
}

stream_event parse_event(std::string_view bytes)
{
    stream_event event;
    event.bytes = bytes;
    std::size_t start = 0;
    while (start < bytes.size())
    {
        const auto end = std::min(bytes.find('\n', start), bytes.size());
        auto line = bytes.substr(start, end - start);
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        add_line(event, line);
        start = end + 1;
    }
    return event;
}

} // namespace

void event_splitter::add(std::string_view bytes)
{
    if (m_is_overlong)
    {
        return;
    }
    if (m_start > 0)
    {
        m_buffer.erase(0, m_start);
        m_scanned -= m_start;
        m_start = 0;
    }
    m_buffer.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    constexpr std::size_t max_blank_line_size = 4;
    const auto blank = find_blank_line(m_buffer, std::max(m_start, m_scanned));
    const auto end = std::min(m_buffer.size(), blank.position) + blank.size;
    if (end - m_start > max_event_bytes)
    {
        m_is_overlong = true;
        m_buffer = {};
        m_start = 0;
        m_scanned = 0;
        return std::nullopt;
    }
    if (blank.position == std::string_view::npos)
    {
        // The buffer may end with the first bytes of a blank line.
        const auto overlap = max_blank_line_size - 1;
        m_scanned = std::max(
            m_start, m_buffer.size() > overlap ? m_buffer.size() - overlap : 0);
        return std::nullopt;
    }
    auto event =
        parse_event(std::string_view(m_buffer).substr(m_start, end - m_start));
    m_start = end;
    m_scanned = end;
    return event;
}

} // namespace daleshelf
