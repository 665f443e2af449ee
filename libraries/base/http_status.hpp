/// @file
/// HTTP statuses by name (RFC 9110, section 15).
#pragma once

namespace daleshelf::http_status
{

inline constexpr int first_informational = 100;
inline constexpr int last = 599;
inline constexpr int ok = 200;
inline constexpr int created = 201;
inline constexpr int accepted = 202;
inline constexpr int no_content = 204;
inline constexpr int first_redirection = 300;
inline constexpr int see_other = 303;
inline constexpr int bad_request = 400;
inline constexpr int first_client_error = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int precondition_failed = 412;
inline constexpr int payload_too_large = 413;
inline constexpr int misdirected = 421;
inline constexpr int unprocessable = 422;
inline constexpr int too_many_requests = 429;
inline constexpr int header_fields_too_large = 431;
inline constexpr int first_server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;

/// @return whether a response can have the status
[[nodiscard]] constexpr bool is_valid(int status)
{
    return status >= first_informational && status <= last;
}

} // namespace daleshelf::http_status
