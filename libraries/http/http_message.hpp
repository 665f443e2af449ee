/// @file
/// Requests and responses as values.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// One header line.
struct http_header
{
    std::string name;
    std::string value;
};

/// A request as it was received.
struct http_request
{
    std::string method;
    std::string path; ///< without the query
    std::string body;
    absl::flat_hash_map<std::string, std::string> headers; ///< lower-case names
    absl::flat_hash_map<std::string, std::string> query;

    /// @param name a header's name in lower case
    /// @return its value, or an empty text if it was not sent
    [[nodiscard]] std::string header(std::string_view name) const;

    /// @param name a query parameter's name
    /// @return its value, or an empty text if it was not sent
    [[nodiscard]] std::string parameter(std::string_view name) const;
};

/// A whole response.
struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json";
};

/// @param target a path or query value with percent escapes
/// @return the value without them
[[nodiscard]] std::string url_decode(std::string_view target);

/// @param value any text
/// @return the text with percent escapes, fit for one path segment
[[nodiscard]] std::string url_encode(std::string_view value);

} // namespace daleshelf
