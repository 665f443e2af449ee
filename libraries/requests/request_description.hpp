/// @file
/// Description of a caller's generation request.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>

namespace daleshelf
{

/// Form of a generation request and of its answer.
enum class generation_form
{
    completion,
    chat,
};

/// Whether a request that may have run can be sent again.
enum class repeatability
{
    repeatable,
    once_only,
};

/// An accepted generation request; immutable.
struct request_description
{
    request_id id;
    workspace_id workspace;
    std::string deployment;   ///< name that the caller uses
    std::string engine_model; ///< name of the model at the engines
    generation_form form = generation_form::completion;
    std::string body; ///< the caller's JSON
    std::uint64_t prefix = 0;
    std::int64_t priority = 0; ///< higher values are served first
    absl::Time deadline = absl::InfiniteFuture();
    repeatability repeats = repeatability::repeatable;
    std::string traceparent;
};

} // namespace daleshelf
