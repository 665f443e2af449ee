/// @file
/// Heads of HTTP/1.1 messages, free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// HTTP/1.1 as the parsers write versions; HTTP/1.0 is less.
inline constexpr int http_1_1 = 11;

/// One header field, as it came.
struct message_field
{
    std::string name;
    std::string value;
};

/// The header fields of one message, in order.
struct message_fields
{
    std::vector<message_field> fields;

    /// @return value of the first field of that name, whatever its case
    [[nodiscard]] const std::string* find(std::string_view name) const;

    /// @return how many fields have that name
    [[nodiscard]] std::size_t count(std::string_view name) const;

    /// @return whether a list such as that of Connection holds the token
    [[nodiscard]] bool has_token(std::string_view name,
                                 std::string_view token) const;
};

/// Start line and fields of a request.
struct request_head
{
    std::string method;
    std::string target;
    int version = http_1_1;
    message_fields fields;
};

/// Status line and fields of an answer.
struct response_head
{
    int status = 0;
    std::string reason;
    int version = http_1_1;
    message_fields fields;
};

/// @return whether the field concerns a single connection only (RFC 9110,
/// section 7.6.1), or is named by the message's own Connection field
[[nodiscard]] bool is_hop_by_hop(const message_fields& fields,
                                 std::string_view name);

/// @return whether the sender lets the connection be used again
[[nodiscard]] bool keeps_connection(const message_fields& fields, int version);

/// @return whether more than one reading of the end of the message's body is
/// possible (RFC 9112, section 6.3), as in a request smuggled inside another
[[nodiscard]] bool has_ambiguous_length(const message_fields& fields,
                                        int version);

/// @return whether two field names are the same
[[nodiscard]] bool same_name(std::string_view left, std::string_view right);

/// @return the usual reason phrase of a status
[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace daleshelf
