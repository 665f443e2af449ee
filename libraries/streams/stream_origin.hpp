/// @file
/// What began a stream.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>

namespace daleshelf
{

/// The software that wrote the first event of a stream. The stream is named by
/// the client's attempt that brought that event.
struct stream_origin
{
    request_id attempt;
    service_name service;
    version_name version;
};

/// Longest time for which a stream is assumed to be resumable.
inline constexpr absl::Duration max_resumable_time = absl::Seconds(60);

} // namespace daleshelf
