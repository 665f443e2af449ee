/// @file
/// What a client says of its request, free of the names that it says it by.
#pragma once

#include <base/identifiers.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// One part of a prompt; requests share parts.
struct prompt_part
{
    std::string id;
    std::int64_t tokens = 0;
};

/// The facts of one request that decide how it is served.
struct request_facts
{
    request_id id;
    std::optional<std::chrono::milliseconds> deadline;
    std::string key;
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t answer_tokens = 0; ///< the most that is generated
    std::vector<prompt_part> prompt;
    std::optional<std::int64_t> last_event;
};

} // namespace daleshelf
