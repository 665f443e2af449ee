/// @file
/// The limit that an upstream advertises.
#pragma once

#include <absl/time/time.h>

#include <ingress/upstream_incarnation.hpp>
#include <optional>

namespace daleshelf
{

/// The limit that the newest response of an upstream has advertised.
struct limit_record
{
    upstream_incarnation server;
    /// Requests per second that it accepts from the whole fleet; nothing if it
    /// no longer advertises a limit.
    std::optional<double> per_second;
    absl::Time advertised_at; ///< time of day of the response
};

/// The source of a record.
enum class limit_origin
{
    response, ///< a response to this host
    peer,     ///< gossip of another host
};

/// A changed record, to be gossiped and logged.
struct limit_update
{
    limit_record record;
    std::optional<double> previous; ///< the limit before the change
    limit_origin origin = limit_origin::response;
};

} // namespace daleshelf
