/// @file
/// What the command-line tool can do.
#pragma once

#include "exit_code.hpp"

#include <string>
#include <vector>

namespace daleshelf
{

class operator_client;

/// How results are printed.
enum class output_form
{
    people,
    json,
};

/// What a verb was called with.
struct verb_call
{
    operator_client& client;
    output_form form = output_form::people;
    std::vector<std::string> arguments = {};
    std::string file = {};     ///< of `apply`; `-`: standard input
    std::string change = {};   ///< change id of `apply` and `delete`
    std::int64_t version = -1; ///< expected version of `delete`; -1: any
    std::int64_t from = 0;     ///< first offset of `watch`
    std::int64_t count = 0;    ///< events of `watch`; 0: no limit
};

/// One verb.
struct verb
{
    std::string name;
    std::string arguments; ///< for the help
    std::string help;
    std::size_t least_arguments = 0;
    std::size_t most_arguments = 0;
    exit_code (*run)(const verb_call&) = nullptr;
};

/// @return all verbs
[[nodiscard]] const std::vector<verb>& all_verbs();

} // namespace daleshelf
