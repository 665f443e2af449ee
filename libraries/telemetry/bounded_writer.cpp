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
    if (m_held.size() + line.size() > most_held)
    {
        flush();
    }
    if (m_held.size() + line.size() > most_held)
    {
        ++m_dropped;
        return;
    }
    add_drops();
    append_text(m_held, line, "\n");
    flush();
}

void bounded_writer::flush()
{
    std::size_t written = 0;
    while (written < m_held.size())
    {
        const auto size = ::write(m_descriptor, m_held.data() + written,
                                  m_held.size() - written);
        if (size <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    m_held.erase(0, written);
}

void bounded_writer::finish(std::chrono::milliseconds longest)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + longest;
    add_drops();
    flush();
    while (!m_held.empty())
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - clock::now());
        pollfd output{m_descriptor, POLLOUT, 0};
        if (left.count() <= 0 ||
            ::poll(&output, 1, static_cast<int>(left.count())) <= 0)
        {
            return;
        }
        const auto before = m_held.size();
        flush();
        if (m_held.size() == before)
        {
            // The reader is gone.
            return;
        }
    }
}

void bounded_writer::add_drops()
{
    if (m_dropped == m_told)
    {
        return;
    }
    append_text(m_held, R"({"name":"lines_dropped","count":)",
                m_dropped - m_told, "}\n");
    m_told = m_dropped;
}

} // namespace daleshelf
