/// @file
/// Handling of the notices about themselves that upstreams send in responses.
#pragma once

#include "gateway_state.hpp"

#include <platform/forward.hpp>

namespace daleshelf
{

/// Applies an upstream's notice: no more requests if it is draining, none until
/// its Retry-After has passed, and no more than the rate limit that it names.
/// @param server as known when the request was sent
/// @param sent_at when the request was sent, monotonic
void apply_notice(gateway_state& state, const server_entry& server,
                  const platform::server_notice& notice, absl::Time sent_at);

} // namespace daleshelf
