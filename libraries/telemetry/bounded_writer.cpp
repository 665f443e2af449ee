#include "bounded_writer.hpp"

#include <base/text.hpp>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace daleshelf
{

bounded_writer::bounded_writer(int descriptor) : m_descriptor(descriptor)
{
    const int flags = ::fcntl(m_descriptor, F_GETFL);
    ::fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

void bounded_writer::add(std::string_view line)
{
    if (m_buffer.size() + line.size() > max_buffered_bytes)
    {
        flush();
    }
    if (m_buffer.size() + line.size() > max_buffered_bytes)
    {
        ++m_dropped;
        return;
    }
    append_drop_report();
    append_text(m_buffer, line, "\n");
    flush();
}

void bounded_writer::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size())
    {
        const auto size = ::write(m_descriptor, m_buffer.data() + written,
                                  m_buffer.size() - written);
        if (size <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    m_buffer.erase(0, written);
}

void bounded_writer::finish(std::chrono::milliseconds timeout)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + timeout;
    append_drop_report();
    flush();
    while (!m_buffer.empty())
    {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                                  clock::now());
        pollfd output{m_descriptor, POLLOUT, 0};
        if (remaining.count() <= 0 ||
            ::poll(&output, 1, static_cast<int>(remaining.count())) <= 0)
        {
            return;
        }
        const auto previous_size = m_buffer.size();
        flush();
        if (m_buffer.size() == previous_size)
        {
            // The descriptor is ready but takes nothing: the reader has closed
            // its end.
            return;
        }
    }
}

void bounded_writer::append_drop_report()
{
    if (m_dropped == m_reported_drops)
    {
        return;
    }
    append_text(m_buffer, R"({"name":"lines_dropped","count":)",
                m_dropped - m_reported_drops, "}\n");
    m_reported_drops = m_dropped;
}

} // namespace daleshelf
