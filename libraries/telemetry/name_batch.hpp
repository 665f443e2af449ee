/// @file
/// Many names in one log line.
#pragma once

#include <base/text.hpp>
#include <string>
#include <string_view>

namespace daleshelf
{

/// What has happened to many things at about the same time, for one log line:
/// how many they are, and the first of them. A line for each would be 370,000
/// lines within 32 s where 295 hosts each hear of 160 servers and of one
/// another.
class name_batch
{
public:
    /// @param most_named how many are named; the others are only counted
    explicit name_batch(std::size_t most_named) : m_most_named(most_named) {}

    /// @param name what an operator looks for
    void add(std::string_view name)
    {
        ++m_count;
        if (m_count <= m_most_named)
        {
            append_text(m_names, m_names.empty() ? "" : " ", name);
        }
    }

    [[nodiscard]] bool is_empty() const
    {
        return m_count == 0;
    }

    /// @return how many there are, with those that are not named
    [[nodiscard]] std::size_t count() const
    {
        return m_count;
    }

    /// @return the first names, with blanks between
    [[nodiscard]] const std::string& names() const
    {
        return m_names;
    }

    /// Begins anew, once the line is written.
    void clear()
    {
        m_count = 0;
        m_names.clear();
    }

private:
    std::size_t m_most_named;
    std::size_t m_count = 0;
    std::string m_names;
};

} // namespace daleshelf
