#include "settings_error.hpp"

#include <utility>

namespace daleshelf
{

namespace
{

std::string describe(const std::vector<settings_fault>& faults)
{
    std::string text;
    for (const auto& fault : faults)
    {
        text += text.empty() ? "" : "\n";
        text += fault.to_string();
    }
    return text;
}

} // namespace

std::string settings_fault::to_string() const
{
    std::string text = file;
    if (line > 0)
    {
        text += ":" + std::to_string(line);
    }
    if (!key.empty())
    {
        text += ": " + key;
    }
    return text + ": found " + found + "; allowed: " + allowed;
}

settings_error::settings_error(std::vector<settings_fault> faults)
    : std::runtime_error(describe(faults)), m_faults(std::move(faults))
{
}

} // namespace daleshelf
