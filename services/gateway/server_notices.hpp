/// @file
/// What servers say of themselves in their answers, and what follows from it.
#pragma once

#include <ingress/forward.hpp>
#include <platform/forward.hpp>

namespace daleshelf
{

/// Logs what a server has said of itself.
/// @param server as it was known when the request was sent to it
void heed(const server_entry& server, const platform::server_notice& notice);

} // namespace daleshelf
