/// @file
/// Decides whether a response head answers a request.
#pragma once

#include <string>
#include <string_view>
#include <wire/message_head.hpp>

namespace daleshelf
{

/// Which request a response belongs to.
enum class response_relation
{
    own,           ///< the request that was sent, as far as is known
    other,         ///< another request; it came late
    informational, ///< none: the final response follows
};

/// Why a response is not the upstream's answer.
enum class response_fault
{
    none,
    malformed,          ///< it is no HTTP response, or exceeds a limit
    ambiguous_id,       ///< it carries several request ids, or an empty one
    missing_id,         ///< it is no failure and carries no request id
    unproven_rejection, ///< its status promises that the request has not run,
                        ///< and it does not state so
    contradictory_rejection, ///< no failure, yet it states that the request
                             ///< has not run
    unsigned_success,        ///< a success without exactly one signature
    event_out_of_sequence,   ///< an event does not follow the one before it
    encoded_body,            ///< requests ask for bodies without an encoding
};

/// @return the name of the fault in the log; empty if there is none
[[nodiscard]] std::string_view name_of(response_fault fault);

/// Result of `check_response`.
struct response_check
{
    response_relation relation = response_relation::own;
    response_fault fault = response_fault::none;
};

/// Checks a response head. Faulty upstreams send bytes that parse as a response
/// without being their answer.
/// @param head head of the response
/// @param request_id id that the request was sent with
[[nodiscard]] response_check check_response(const response_head& head,
                                            std::string_view request_id);

} // namespace daleshelf
