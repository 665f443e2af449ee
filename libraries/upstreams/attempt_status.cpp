#include "attempt_status.hpp"

#include <absl/strings/numbers.h>

#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

bool says_not_executed(const http_response& head)
{
    return find_header(head, "x-request-executed") == "no";
}

std::optional<std::chrono::milliseconds>
read_retry_after(const http_response& head)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    std::int64_t seconds = 0;
    const auto value = find_header(head, "retry-after");
    if (!value || !absl::SimpleAtoi(*value, &seconds))
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(seconds * milliseconds_per_second);
}

} // namespace

std::optional<std::string> find_header(const http_response& response,
                                       const std::string& lower_case_name)
{
    for (const auto& header : response.headers)
    {
        if (header.name == lower_case_name)
        {
            return header.value;
        }
    }
    return std::nullopt;
}

attempt_result to_attempt_result(const http_transfer_result& transfer,
                                 const http_response& head,
                                 const std::string& body)
{
    using outcome = attempt_result::outcome;
    attempt_result result;
    result.status = transfer.status;
    result.message = transfer.error.empty() ? body : transfer.error;
    if (!transfer.is_sent)
    {
        // NOTE: a cancelled transfer counts as unsent only if it truly was.
        result.what = outcome::unreachable;
        return result;
    }
    if (transfer.is_cancelled)
    {
        result.what = outcome::cancelled;
        return result;
    }
    if (!transfer.is_complete())
    {
        return result;
    }
    result.retry_after = read_retry_after(head);
    const bool is_client_error =
        result.status >= http_status::first_client_error &&
        result.status < http_status::first_server_error;
    if (says_not_executed(head))
    {
        const bool is_request_wrong =
            is_client_error &&
            result.status != http_status::too_many_requests &&
            result.status != http_status::not_found;
        result.what = is_request_wrong ? outcome::rejected : outcome::refused;
        return result;
    }
    if (result.status < http_status::first_client_error)
    {
        result.what = outcome::completed;
    }
    return result;
}

} // namespace daleshelf
