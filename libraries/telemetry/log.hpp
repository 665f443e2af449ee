/// @file
/// Structured logging, based on Boost.Log.
#pragma once

#include "log_event.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// Format of log lines.
enum class log_format
{
    text,
    json,
};

/// Destination of log lines.
enum class log_output
{
    standard_error,
    /// Standard output, written without blocking: lines that the reader does
    /// not accept are buffered up to a bound, then dropped and counted.
    bounded_standard_output,
};

/// Name and value of one field of a log line.
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

/// Initializes logging. Called once, before the first line is logged.
/// @param program the program's name
/// @param format format of the lines
/// @param min_severity events below this severity are not logged
/// @param output destination of the lines
void start_logging(const std::string& program, log_format format,
                   log_severity min_severity,
                   log_output output = log_output::standard_error);

/// Flushes buffered lines when the process stops. Blocks for a stalled reader
/// for 300 ms at most.
void finish_log();

/// Logs one event as one line.
/// @param event the event
/// @param fields the fields of the line
void log(const log_event& event, const std::vector<log_field>& fields = {});

} // namespace daleshelf
