#include "request_error.hpp"

#include <utility>

namespace daleshelf
{

request_error::request_error(
    int status, std::string code, const std::string& message, verdict run,
    std::optional<std::chrono::milliseconds> retry_after)
    : std::runtime_error(message)
    , m_status(status)
    , m_code(std::move(code))
    , m_run(run)
    , m_retry_after(retry_after)
{
}

} // namespace daleshelf
