/// @file
/// What is wrong with a settings file.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace daleshelf
{

/// One fault of a settings file.
struct settings_fault
{
    std::string file;
    int line = 0; ///< 0 if the key is missing
    std::string key;
    std::string found;
    std::string allowed;

    /// @return the fault as one line
    [[nodiscard]] std::string to_string() const;
};

/// All faults of a settings file.
class settings_error : public std::runtime_error
{
public:
    explicit settings_error(std::vector<settings_fault> faults);

    [[nodiscard]] const std::vector<settings_fault>& faults() const
    {
        return m_faults;
    }

private:
    std::vector<settings_fault> m_faults;
};

} // namespace daleshelf
