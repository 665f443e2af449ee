/// @file
/// The limit of one upstream.
#pragma once

#include <absl/time/time.h>

#include <ingress/upstream_incarnation.hpp>
#include <optional>

namespace daleshelf
{

/// What an upstream's newest answer has said of its limit.
struct limit_record
{
    upstream_incarnation server;
    /// Requests a second that it takes from the whole fleet; nothing: it no
    /// longer names a limit.
    std::optional<double> per_second;
    absl::Time named_at; ///< time of day of the answer
};

/// Where a record comes from.
enum class limit_origin
{
    answer, ///< an answer to this host
    peer,   ///< another host
};

/// A record that has changed, for peers and for the log.
struct limit_update
{
    limit_record record;
    std::optional<double> before; ///< the limit until then
    limit_origin origin = limit_origin::answer;
};

} // namespace daleshelf
