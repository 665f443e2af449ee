/// @file
/// Decides whether a request can be sent again after a failed attempt.
#pragma once

#include "attempt_result.hpp"
#include "request_description.hpp"

#include <base/request_error.hpp>
#include <base/verdict.hpp>
#include <optional>

namespace daleshelf
{

/// @param result how the last attempt ended; not `completed`
/// @param repeats whether the caller allows the request to run twice
/// @param run verdict over all attempts so far
/// @param is_retry_allowed whether the attempt limit and the retry
/// budget allow another attempt
/// @return nothing if the request can be sent again, else its final error
[[nodiscard]] std::optional<request_error>
find_retry_obstacle(const attempt_result& result, repeatability repeats,
                    verdict run, bool is_retry_allowed);

} // namespace daleshelf
