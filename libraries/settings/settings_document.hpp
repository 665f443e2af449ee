/// @file
/// A TOML file read against a table of settings.
#pragma once

#include "setting.hpp"
#include "settings_error.hpp"

#include <chrono>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace daleshelf
{

/// Reads keys one by one and collects every fault on the way.
class settings_document
{
public:
    /// @param path the file to read
    /// @throws settings_error if the file cannot be read or is not TOML
    explicit settings_document(const std::string& path);
    settings_document(const settings_document&) = delete;
    settings_document& operator=(const settings_document&) = delete;
    ~settings_document();

    /// Reads one key into `target`, which keeps its value if the key is absent.
    void read(const std::string& key, const setting_limits& limits,
              std::string& target);
    void read(const std::string& key, const setting_limits& limits,
              std::int64_t& target);
    /// A number, whole or not.
    void read(const std::string& key, const setting_limits& limits,
              double& target);
    void read(const std::string& key, const setting_limits& limits,
              bool& target);
    /// Milliseconds, as a whole number.
    void read(const std::string& key, const setting_limits& limits,
              std::chrono::milliseconds& target);
    void read(const std::string& key, const setting_limits& limits,
              std::vector<std::string>& target);

    /// Notes a fault if the key is absent.
    void require(const std::string& key);

    /// Notes a fault found by a check beyond single keys.
    void add_fault(const std::string& key, const std::string& found,
                   const std::string& allowed);

    /// @throws settings_error with every fault, unknown keys included
    void finish();

private:
    struct contents;

    int line_of(const std::string& key) const;
    std::string text_of(const std::string& key) const;
    void find_unknown_keys();

    std::string m_path;
    std::unique_ptr<contents> m_contents;
    std::set<std::string> m_known;
    std::vector<settings_fault> m_faults;
};

/// Reads a whole settings file.
/// @param path the file to read
/// @param table every key that is known
/// @return the settings, with defaults for absent keys
/// @throws settings_error naming every fault
template <typename Settings>
[[nodiscard]] Settings read_settings(const std::string& path,
                                     std::span<const setting<Settings>> table)
{
    settings_document document(path);
    Settings settings;
    for (const auto& entry : table)
    {
        if (entry.presence == setting_presence::required)
        {
            document.require(entry.key);
        }
        std::visit(
            [&](auto target)
            { document.read(entry.key, entry.limits, settings.*target); },
            entry.target);
    }
    document.finish();
    return settings;
}

} // namespace daleshelf
