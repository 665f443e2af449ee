/// @file
/// Actions that the request state machine returns to its caller.
#pragma once

#include <base/identifiers.hpp>
#include <base/request_error.hpp>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Choose an upstream and send it the request with the partial answer.
struct start_attempt
{
    attempt_id attempt;
    bool is_retry = false;
};

/// Resume reading a stream that an upstream already runs.
struct resume_stream
{
    attempt_id attempt;
    upstream_id upstream;
    std::string stream_id;
    token_position from;
};

/// Cancel an attempt whose answer is no longer needed.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Deliver the token at `position` to the caller.
struct deliver_token
{
    token_position position;
};

/// The answer is complete.
struct complete_request
{
    std::string finish_reason;
};

/// The request fails with an error.
struct fail_request
{
    request_error error;
};

using request_action =
    std::variant<start_attempt, resume_stream, cancel_attempt, deliver_token,
                 complete_request, fail_request>;
using request_actions = std::vector<request_action>;

} // namespace daleshelf
