/// @file
/// An upstream that crashes when it rejects many requests.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <ingress/upstream_incarnation.hpp>
#include <optional>

namespace daleshelf
{

/// An upstream that crashes, or may crash, when it rejects many requests.
struct brittle_upstream
{
    upstream_incarnation server;
    hall_id hall;
    std::int64_t slots = 1; ///< requests that it runs at once
    /// Rejections a second that it tolerates; nothing if this host has just
    /// started and does not know whether there is a limit.
    std::optional<double> rejection_limit;
};

} // namespace daleshelf
