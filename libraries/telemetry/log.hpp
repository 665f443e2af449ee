/// @file
/// Structured log lines, by Boost.Log.
#pragma once

#include "log_event.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// How log lines look.
enum class log_format
{
    text,
    json,
};

/// Where log lines go.
enum class log_output
{
    standard_error,
    /// Standard output, of which nothing is waited for: lines that its reader
    /// does not take are kept up to a bound, then dropped and counted.
    bounded_standard_output,
};

/// One named value of a log line.
struct log_field
{
    log_field(std::string_view field_name, std::string field_value)
        : name(field_name), value(std::move(field_value))
    {
    }

    log_field(std::string_view field_name, std::int64_t field_value)
        : log_field(field_name, std::to_string(field_value))
    {
    }

    std::string_view name;
    std::string value;
};

/// Sets up logging; called once, before the first line.
/// @param program the program's name
/// @param format how lines look
/// @param least events below this severity are left out
/// @param output where lines go
void start_logging(const std::string& program, log_format format,
                   log_severity least,
                   log_output output = log_output::standard_error);

/// Hands on lines that are still held; at a process's end. A reader that stands
/// still is waited for a moment only.
void finish_log();

/// Writes one line.
/// @param event what has happened
/// @param fields the values that belong to it
void log(const log_event& event, const std::vector<log_field>& fields = {});

} // namespace daleshelf
