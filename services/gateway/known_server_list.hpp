/// @file
/// How much of the list of upstreams a host knows.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>

namespace daleshelf
{

/// State of the list of upstreams that a decision rests on, for the log.
struct known_server_list
{
    log_offset next; ///< all records before this offset are known
    /// Time since when a change of the list may be unknown.
    absl::Duration age = absl::InfiniteDuration();
};

} // namespace daleshelf
