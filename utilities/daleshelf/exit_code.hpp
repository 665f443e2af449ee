/// @file
/// Exit codes of the command-line tool. See docs/OPERATIONS.md.
#pragma once

namespace daleshelf
{

/// What a verb's end tells a script.
enum class exit_code
{
    success = 0,
    failure = 1,   ///< the daemon cannot be reached or answers an error
    usage = 2,     ///< the command line is wrong
    not_found = 3, ///< no such resource or change
    conflict = 4,  ///< another change came first
    invalid = 5,   ///< the change does not fit the schema
    pending = 6,   ///< not settled yet; ask again with `change get`
};

} // namespace daleshelf
