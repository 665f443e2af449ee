/// @file
/// Datagrams by which hosts report and ask for the origins of streams.
#pragma once

#include "stream_origin.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// An origin with the time for which it is kept.
struct timed_origin
{
    stream_origin origin;
    absl::Duration keep_time;

    friend bool operator==(const timed_origin& left, const timed_origin& right)
    {
        return left.origin.attempt == right.origin.attempt &&
               left.origin.service == right.origin.service &&
               left.origin.version == right.origin.version &&
               left.keep_time == right.keep_time;
    }
};

/// One datagram. A report has origins only. A question has a number and one
/// origin without a version, whose keep time is how old the stream may be; an
/// empty attempt asks for the sole version only. A reply repeats the number,
/// and has the origin if the host keeps it.
struct origin_message
{
    std::vector<timed_origin> origins;
    std::int64_t question = 0; ///< 0: a report
    bool is_reply = false;
    /// The only version of the service within the time asked for.
    std::optional<version_name> sole_version;
    log_offset list_offset; ///< up to which the list of upstreams is known
};

/// @return the serialized message
[[nodiscard]] std::string encode(const origin_message& message);

/// @return the message, or nothing if the bytes are not a valid one
[[nodiscard]] std::optional<origin_message>
decode_origins(std::string_view bytes);

} // namespace daleshelf
