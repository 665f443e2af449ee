/// @file
/// A folder that goes with the test.
#pragma once

#include <string>

namespace daleshelf::test
{

/// Made at construction, removed with all it holds at destruction.
class temporary_folder
{
public:
    temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder();

    [[nodiscard]] const std::string& path() const
    {
        return m_path;
    }

    /// @param name name of a file
    /// @param text what it holds then
    /// @return its path
    [[nodiscard]] std::string write(const std::string& name,
                                    const std::string& text) const;

private:
    std::string m_path;
};

} // namespace daleshelf::test
