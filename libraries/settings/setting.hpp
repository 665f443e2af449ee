/// @file
/// Description of one setting, as an entry in a program's table of settings.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Whether a key must be there.
enum class setting_presence
{
    optional,
    required,
};

/// Allowed values of one setting.
struct setting_limits
{
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
    std::vector<std::string> choices; ///< empty: any text
};

/// One key of a settings file and the member that it fills.
/// @tparam Settings the struct that holds a program's settings
template <typename Settings>
struct setting
{
    using member =
        std::variant<std::string Settings::*, std::int64_t Settings::*,
                     double Settings::*, bool Settings::*,
                     std::chrono::milliseconds Settings::*,
                     std::vector<std::string> Settings::*>;

    std::string key; ///< dotted, such as `callers.port`
    member target;
    std::string meaning; ///< for docs/SETTINGS.md
    setting_presence presence = setting_presence::optional;
    setting_limits limits = {};
};

} // namespace daleshelf
