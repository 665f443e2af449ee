/// @file
/// W3C Trace Context: the `traceparent` header.
#pragma once

#include <string>
#include <string_view>

namespace daleshelf
{

/// Identifies a span and the trace that it belongs to.
struct trace_context
{
    std::string trace_id; ///< 32 hexadecimal digits
    std::string span_id;  ///< 16 hexadecimal digits

    /// @return a context for a new trace
    [[nodiscard]] static trace_context create();

    /// @param header value of a `traceparent` header, may be empty
    /// @return the caller's context; a new trace if the value is malformed
    [[nodiscard]] static trace_context from_header(std::string_view header);

    /// @return a context for a new span of the same trace
    [[nodiscard]] trace_context child() const;

    /// @return value of a `traceparent` header
    [[nodiscard]] std::string to_header() const;
};

} // namespace daleshelf
