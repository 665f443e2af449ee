/// @file
/// Whether a request may be sent again after an attempt has failed.
#pragma once

#include "attempt_result.hpp"
#include "request_description.hpp"

#include <base/request_error.hpp>
#include <base/verdict.hpp>
#include <optional>

namespace daleshelf
{

/// @param result how the last attempt ended; not `completed`
/// @param repeats whether the caller allows a second run
/// @param run what is known of all attempts up to now
/// @param may_retry whether attempts and the retry budget are left
/// @return nothing if the request may be sent again, else its final answer
[[nodiscard]] std::optional<request_error>
find_retry_obstacle(const attempt_result& result, repeatability repeats,
                    verdict run, bool may_retry);

} // namespace daleshelf
