#include "event_splitter.hpp"

#include <algorithm>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

struct blank_line
{
    std::size_t at = std::string_view::npos;
    std::size_t size = 0;
};

blank_line find_blank_line(std::string_view text, std::size_t from)
{
    const auto plain = text.find("\n\n", from);
    const auto with_returns = text.find("\r\n\r\n", from);
    if (plain == std::string_view::npos &&
        with_returns == std::string_view::npos)
    {
        return {};
    }
    if (plain < with_returns)
    {
        return {plain, 2};
    }
    return {with_returns, 4};
}

std::optional<std::int64_t> find_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    std::size_t start = 0;
    while (start < event.size())
    {
        const auto end = std::min(event.find('\n', start), event.size());
        auto line = event.substr(start, end - start);
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (line.starts_with(name))
        {
            return parse_integer(trim(line.substr(name.size())));
        }
        start = end + 1;
    }
    return std::nullopt;
}

} // namespace

void event_splitter::add(std::string_view bytes)
{
    if (m_start > 0)
    {
        m_held.erase(0, m_start);
        m_scanned -= m_start;
        m_start = 0;
    }
    m_held.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    constexpr std::size_t longest_blank_line = 4;
    const auto blank = find_blank_line(m_held, std::max(m_start, m_scanned));
    if (blank.at == std::string_view::npos)
    {
        // The blank line may have begun at the end of what is held.
        const auto overlap = longest_blank_line - 1;
        m_scanned = std::max(
            m_start, m_held.size() > overlap ? m_held.size() - overlap : 0);
        return std::nullopt;
    }
    const auto end = blank.at + blank.size;
    stream_event event;
    event.bytes = m_held.substr(m_start, end - m_start);
    event.id = find_id(event.bytes);
    m_start = end;
    m_scanned = end;
    return event;
}

} // namespace daleshelf
