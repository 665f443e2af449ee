/// @file
/// What servers say of themselves in their answers, and what follows from it.
#pragma once

#include "gateway_state.hpp"

#include <platform/forward.hpp>

namespace daleshelf
{

/// Sends nothing more to a server that has said that it leaves, and nothing to
/// one that wants rest until that is over.
/// @param server as it was known when the request was sent to it
void heed(gateway_state& state, const server_entry& server,
          const platform::server_notice& notice);

} // namespace daleshelf
