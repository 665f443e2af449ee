#include "table.hpp"

#include <algorithm>
#include <utility>

namespace daleshelf
{

table::table(std::vector<std::string> heading) : m_rows{std::move(heading)} {}

void table::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

std::string table::to_string() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : m_rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            text += row[column];
            const bool is_last = column + 1 == row.size();
            if (!is_last)
            {
                const auto fill = widths[column] - row[column].size() + gap;
                text.append(fill, ' ');
            }
        }
        text += "\n";
    }
    return text;
}

} // namespace daleshelf
