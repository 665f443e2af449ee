/// @file
/// Structured log lines on standard error, by Boost.Log.
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
void start_logging(const std::string& program, log_format format,
                   log_severity least);

/// Writes one line.
/// @param event what has happened
/// @param fields the values that belong to it
void log(const log_event& event, const std::vector<log_field>& fields = {});

} // namespace daleshelf
