/// @file
/// What an upstream's HTTP answer says of an attempt.
#pragma once

#include <http/http_client.hpp>
#include <http/http_message.hpp>
#include <optional>
#include <requests/attempt_result.hpp>
#include <string>

namespace daleshelf
{

/// @param response an answer's head
/// @param lower_case_name a header's name
/// @return the header's value, or nothing
[[nodiscard]] std::optional<std::string>
find_header(const http_response& response, const std::string& lower_case_name);

/// @param transfer how the transfer ended
/// @param head status and headers, if any came
/// @param body the body, if it was an error
/// @return how the attempt ended; `completed` for any 2xx answer that is whole
[[nodiscard]] attempt_result
to_attempt_result(const http_transfer_result& transfer,
                  const http_response& head, const std::string& body);

} // namespace daleshelf
