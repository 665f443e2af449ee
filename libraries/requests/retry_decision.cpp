#include "retry_decision.hpp"

#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds short_pause{1000};

} // namespace

std::optional<request_error> find_retry_obstacle(const attempt_result& result,
                                                 repeatability repeats,
                                                 verdict run, bool may_retry)
{
    const bool may_repeat =
        repeats == repeatability::repeatable || run == verdict::not_run;
    if (!may_repeat)
    {
        return request_error(http_status::bad_gateway, "upstream_failed",
                             "the upstream failed and the request may not be "
                             "repeated: " +
                                 result.message,
                             run);
    }
    if (!may_retry)
    {
        return request_error(http_status::unavailable, "no_upstream_answered",
                             "no upstream could answer: " + result.message, run,
                             result.retry_after.value_or(short_pause));
    }
    return std::nullopt;
}

} // namespace daleshelf
