/// @file
/// Progress of a request, as replicated between hosts.
#pragma once

#include "answer_usage.hpp"

#include <base/identifiers.hpp>
#include <base/request_error.hpp>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// State of a request with its tokens from a given position on.
struct request_progress
{
    token_position from;
    std::vector<std::string> tokens; ///< from position `from` on
    upstream_id upstream;            ///< of the current attempt
    std::string stream_id;           ///< at that upstream; empty if unknown
    bool may_have_run = false;
    std::int64_t attempts = 0;
    bool is_complete = false;
    std::string finish_reason;
    answer_usage usage;
    std::optional<request_error> error; ///< the final answer, if an error
};

} // namespace daleshelf
