/// @file
/// What the platform's append-only log answers.
#pragma once

#include "identifiers.hpp"

#include <string>
#include <vector>

namespace daleshelf
{

/// One record of a stream.
struct log_record
{
    log_offset offset;
    std::string data;
};

/// What became of an append.
struct log_append_result
{
    enum class outcome
    {
        appended, ///< the offset is known
        refused,  ///< certainly not appended
        unknown,  ///< may or may not have been appended
    };

    outcome state = outcome::unknown;
    log_offset offset;
    std::string message;
};

/// What a read has brought.
struct log_read_result
{
    enum class outcome
    {
        records,     ///< perhaps none
        trimmed,     ///< the offset asked for is older than what is kept
        unreachable, ///< no answer
    };

    outcome state = outcome::unreachable;
    log_offset first; ///< the oldest record kept
    log_offset next;  ///< the offset that the next append will get
    std::vector<log_record> records;
    std::string message;
};

} // namespace daleshelf
