#include "response_check.hpp"

#include <base/http_status.hpp>
#include <platform/request_format.hpp>

namespace daleshelf
{

namespace
{

bool is_informational(const response_head& head)
{
    return head.status >= http_status::first_informational &&
           head.status < http_status::ok;
}

// A client takes these for a promise that its request has not run.
bool promises_not_run(const response_head& head)
{
    return head.status == http_status::request_timeout ||
           head.status == http_status::misdirected ||
           head.status == http_status::too_many_requests ||
           head.status == http_status::unavailable;
}

response_fault find_fault(const response_head& head)
{
    const auto id_count = platform::request_id_count(head.fields);
    const auto id = platform::find_request_id(head.fields);
    if (id_count > 1 || (id && id->empty()))
    {
        return response_fault::ambiguous_id;
    }
    const bool is_rejection = platform::states_not_run(head);
    if (is_rejection && head.status < http_status::first_client_error)
    {
        return response_fault::contradictory_rejection;
    }
    if (promises_not_run(head) && !is_rejection)
    {
        return response_fault::unproven_rejection;
    }
    // An upstream may fail a request before it has read its id.
    if (!id && head.status < http_status::first_client_error)
    {
        return response_fault::missing_id;
    }
    if (platform::is_encoded(head.fields))
    {
        return response_fault::encoded_body;
    }
    const bool is_success = head.status < http_status::first_redirection;
    return is_success && !platform::is_signed(head.fields)
               ? response_fault::unsigned_success
               : response_fault::none;
}

} // namespace

std::string_view name_of(response_fault fault)
{
    switch (fault)
    {
    case response_fault::none:
        return "";
    case response_fault::malformed:
        return "malformed";
    case response_fault::ambiguous_id:
        return "ambiguous_id";
    case response_fault::missing_id:
        return "missing_id";
    case response_fault::unproven_rejection:
        return "unproven_rejection";
    case response_fault::contradictory_rejection:
        return "contradictory_rejection";
    case response_fault::unsigned_success:
        return "unsigned_success";
    case response_fault::event_out_of_sequence:
        return "event_out_of_sequence";
    case response_fault::encoded_body:
        return "encoded_body";
    }
    return "";
}

response_check check_response(const response_head& head,
                              std::string_view request_id)
{
    response_check check;
    if (is_informational(head))
    {
        check.relation = response_relation::informational;
        return check;
    }
    check.fault = find_fault(head);
    const auto id = platform::find_request_id(head.fields);
    const bool is_other =
        check.fault != response_fault::ambiguous_id && id && *id != request_id;
    check.relation =
        is_other ? response_relation::other : response_relation::own;
    return check;
}

} // namespace daleshelf
