/// @file
/// The limit that an upstream advertises.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <ingress/upstream_incarnation.hpp>
#include <optional>

namespace daleshelf
{

/// What a limit applies to. The values go on the wire.
enum class limit_kind : std::uint8_t
{
    requests = 0,   ///< that the upstream receives
    rejections = 1, ///< that it sends without crashing
};

/// The limit that the newest response of an upstream has advertised.
struct limit_record
{
    upstream_incarnation server;
    /// Requests, or rejections, per second, of the whole fleet; nothing if it
    /// no longer advertises a limit.
    std::optional<double> per_second;
    absl::Time advertised_at; ///< time of day of the response
    limit_kind kind = limit_kind::requests;
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
