/// @file
/// Token counts of an answer.
#pragma once

#include <cstdint>

namespace daleshelf
{

/// Token counts of an answer, as the upstream reports them.
struct answer_usage
{
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t prefilled_tokens = 0; ///< sum over all attempts
};

} // namespace daleshelf
