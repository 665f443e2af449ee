/// @file
/// Requests on the wire.
#pragma once

#include "generated/peer.pb.h"

#include <requests/request_description.hpp>
#include <requests/request_progress.hpp>

namespace daleshelf
{

/// @return the description in its wire form
[[nodiscard]] protocol::RequestDescription
to_wire(const request_description& description);

/// @return the description that came
[[nodiscard]] request_description
from_wire(const protocol::RequestDescription& wire);

/// @param id the request
/// @return its progress in its wire form
[[nodiscard]] protocol::RequestProgress
to_wire(const request_id& id, const request_progress& progress);

/// @return the progress that came
[[nodiscard]] request_progress from_wire(const protocol::RequestProgress& wire);

} // namespace daleshelf
