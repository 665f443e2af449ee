/// @file
/// What a client states about its request, independent of header names.
#pragma once

#include <base/identifiers.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// One part of a prompt. Requests that share a prefix share its leading parts.
struct prompt_part
{
    std::string id; ///< equal for equal parts
    std::int64_t tokens = 0;
};

/// Attributes of one request that determine how it is served.
struct request_facts
{
    request_id id;
    std::optional<std::chrono::milliseconds> deadline;
    std::string key; ///< API key of the workspace
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0; ///< 0: not stated
    /// The client's estimate of the output tokens; nothing: not stated.
    std::optional<std::int64_t> output_hint;
    std::vector<prompt_part> prompt;
    std::optional<std::int64_t> last_event; ///< id after which to resume
    /// The client's attempt that brought the first event of the stream that
    /// this request resumes.
    std::optional<request_id> resumed;
};

} // namespace daleshelf
