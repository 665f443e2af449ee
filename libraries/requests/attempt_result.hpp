/// @file
/// How an attempt at an upstream ended.
#pragma once

#include <base/verdict.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace daleshelf
{

/// How an attempt at an upstream ended.
struct attempt_result
{
    enum class outcome
    {
        completed,   ///< the upstream ended its answer properly
        unreachable, ///< no byte of the request left
        refused,     ///< the upstream says that it did not run it
        rejected,    ///< the upstream finds the request itself wrong
        broken,      ///< sent, and no whole answer came
        cancelled,   ///< ended by this side
    };

    outcome what = outcome::broken;
    int status = 0; ///< HTTP status, 0 if none came
    std::string message;
    std::optional<std::chrono::milliseconds> retry_after;

    /// @return whether the request certainly did not run
    [[nodiscard]] bool is_not_run() const
    {
        return what == outcome::unreachable || what == outcome::refused ||
               what == outcome::rejected;
    }
};

} // namespace daleshelf
