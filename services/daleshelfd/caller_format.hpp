/// @file
/// Answers to callers in the usual form of model serving.
#pragma once

#include <boost/json.hpp>

#include <base/request_error.hpp>
#include <http/http_message.hpp>
#include <requests/request_machine.hpp>
#include <string>

namespace daleshelf
{

/// @return the usual error body, with the verdict
[[nodiscard]] std::string to_error_body(const request_error& error);

/// @return the whole response to a request that failed, with Retry-After
[[nodiscard]] http_response to_error_response(const request_error& error);

/// @return the whole response to an accepted request that failed
[[nodiscard]] http_response to_failed_response(const request_machine& request,
                                               const request_error& error);

/// @return the whole answer to a request that asked for no stream
[[nodiscard]] http_response to_whole_response(const request_machine& request);

/// @return the event that carries one token
[[nodiscard]] std::string to_token_event(const request_machine& request,
                                         token_position position);

/// @return the events that end a stream properly
[[nodiscard]] std::string to_end_events(const request_machine& request);

/// @return the response that sends a caller to where the request goes on
[[nodiscard]] http_response to_moved_response(const request_machine& request);

/// @return the event that ends a stream whose request goes on elsewhere
[[nodiscard]] std::string to_moved_event(const request_machine& request);

/// @return the event that ends a stream with an error
[[nodiscard]] std::string to_error_event(const request_error& error);

} // namespace daleshelf
