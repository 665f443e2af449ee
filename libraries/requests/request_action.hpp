/// @file
/// What a request's state machine asks to be done.
#pragma once

#include <base/identifiers.hpp>
#include <base/request_error.hpp>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Choose an upstream and send the request there, with the answer so far.
struct start_attempt
{
    attempt_id attempt;
    bool is_retry = false;
};

/// Read on from a stream that an upstream already runs.
struct resume_stream
{
    attempt_id attempt;
    upstream_id upstream;
    std::string stream_id;
    token_position from;
};

/// End an attempt whose answer is no longer wanted.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Hand the token at `position` to the caller.
struct deliver_token
{
    token_position position;
};

/// The answer is whole.
struct complete_request
{
    std::string finish_reason;
};

/// The request ends with an error.
struct fail_request
{
    request_error error;
};

using request_action =
    std::variant<start_attempt, resume_stream, cancel_attempt, deliver_token,
                 complete_request, fail_request>;
using request_actions = std::vector<request_action>;

} // namespace daleshelf
