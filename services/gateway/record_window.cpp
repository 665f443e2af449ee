#include "record_window.hpp"

namespace daleshelf
{

namespace
{

std::size_t size_of(const platform::keyed_record& record)
{
    return record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void record_window::push(const platform::keyed_record& record)
{
    m_records.push_back(record);
    m_bytes += size_of(record);
    while (m_records.size() > m_max_records || m_bytes > m_max_bytes)
    {
        m_bytes -= size_of(m_records.front());
        m_records.pop_front();
    }
}

void record_window::clear()
{
    m_records.clear();
    m_bytes = 0;
}

std::optional<std::vector<platform::keyed_record>>
record_window::newest(std::size_t count) const
{
    if (count > m_records.size())
    {
        return std::nullopt;
    }
    return std::vector(m_records.end() - static_cast<std::ptrdiff_t>(count),
                       m_records.end());
}

} // namespace daleshelf
