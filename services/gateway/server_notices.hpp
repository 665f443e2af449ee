/// @file
/// What servers say of themselves in their answers, and what follows from it.
#pragma once

#include "gateway_state.hpp"

#include <platform/forward.hpp>

namespace daleshelf
{

/// Sends nothing more to a server that has said that it leaves, nothing to one
/// that wants rest until that is over, and no more than its limit to one that
/// names it.
/// @param server as it was known when the request was sent to it
/// @param sent_at when that was, monotonic
void apply_notice(gateway_state& state, const server_entry& server,
                  const platform::server_notice& notice, absl::Time sent_at);

} // namespace daleshelf
