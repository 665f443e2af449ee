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
        completed,   ///< the upstream sent the end of its answer
        unreachable, ///< no byte of the request was sent
        refused,     ///< the upstream reports that it did not run it
        rejected,    ///< the upstream reports an invalid request
        broken,      ///< sent, but the answer is incomplete
        cancelled,   ///< cancelled by this host
    };

    outcome what = outcome::broken;
    int status = 0; ///< HTTP status, 0 if none was received
    std::string message;
    std::optional<std::chrono::milliseconds> retry_after;

    /// @return whether the upstream certainly did not run the request
    [[nodiscard]] bool has_not_run() const
    {
        return what == outcome::unreachable || what == outcome::refused ||
               what == outcome::rejected;
    }
};

} // namespace daleshelf
