/// @file
/// The error with which a request ends.
#pragma once

#include "verdict.hpp"

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace daleshelf
{

/// Final answer to a request that could not be served.
class request_error : public std::runtime_error
{
public:
    /// @param status HTTP status of the answer
    /// @param code short machine-readable name of the cause
    /// @param message what went wrong, for people
    /// @param run whether the request may have run
    /// @param retry_after when to come back; none if a retry cannot help
    request_error(int status, std::string code, const std::string& message,
                  verdict run,
                  std::optional<std::chrono::milliseconds> retry_after = {});

    [[nodiscard]] int status() const
    {
        return m_status;
    }

    [[nodiscard]] const std::string& code() const
    {
        return m_code;
    }

    [[nodiscard]] verdict run() const
    {
        return m_run;
    }

    [[nodiscard]] std::optional<std::chrono::milliseconds> retry_after() const
    {
        return m_retry_after;
    }

private:
    int m_status;
    std::string m_code;
    verdict m_run;
    std::optional<std::chrono::milliseconds> m_retry_after;
};

} // namespace daleshelf
