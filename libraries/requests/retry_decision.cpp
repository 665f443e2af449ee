#include "retry_decision.hpp"

#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds default_retry_after{1000};

} // namespace

std::optional<request_error> find_retry_obstacle(const attempt_result& result,
                                                 repeatability repeats,
                                                 verdict run,
                                                 bool is_retry_allowed)
{
    const bool is_repeatable =
        repeats == repeatability::repeatable || run == verdict::not_run;
    if (!is_repeatable)
    {
        return request_error(http_status::bad_gateway, "upstream_failed",
                             "the upstream failed and the request may not be "
                             "repeated: " +
                                 result.message,
                             run);
    }
    if (!is_retry_allowed)
    {
        return request_error(http_status::unavailable, "no_upstream_answered",
                             "no upstream could answer: " + result.message, run,
                             result.retry_after.value_or(default_retry_after));
    }
    return std::nullopt;
}

} // namespace daleshelf
