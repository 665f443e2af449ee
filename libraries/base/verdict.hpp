/// @file
/// Whether a request that failed may have run at an upstream.
#pragma once

#include <string>

namespace daleshelf
{

/// What is known about the execution of a request that has failed.
enum class verdict
{
    not_run,      ///< no byte left for an upstream, or the upstream refused it
    may_have_run, ///< bytes left and no answer tells what became of them
    ran,          ///< an upstream has begun to answer
};

/// @param value the verdict
/// @return its name as callers and operators see it
[[nodiscard]] std::string to_string(verdict value);

} // namespace daleshelf
