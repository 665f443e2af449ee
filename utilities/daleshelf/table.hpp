/// @file
/// Tables for people.
#pragma once

#include <string>
#include <vector>

namespace daleshelf
{

/// Rows of equal length with a heading.
class table
{
public:
    /// @param heading names of the columns
    explicit table(std::vector<std::string> heading);

    /// @param row a cell for each column
    void add(std::vector<std::string> row);

    /// @return the table with columns in line
    [[nodiscard]] std::string to_string() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace daleshelf
