/// @file
/// One request that this host owns or keeps a copy of.
#pragma once

#include "answer_sink.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <base/timer_queue.hpp>
#include <http/http_client.hpp>
#include <memory>
#include <optional>
#include <requests/attempt_result.hpp>
#include <requests/request_machine.hpp>
#include <telemetry/span_exporter.hpp>
#include <vector>

namespace daleshelf
{

struct upstream_entry;

/// What a host does with a request.
enum class copy_role
{
    owner,   ///< runs it
    replica, ///< keeps it and takes over if the owner is gone
    reader,  ///< follows it for a caller
};

/// A request with all that runs for it. What follows the mutex is guarded by
/// it.
struct live_request
{
    live_request(const request_description& description,
                 std::int64_t max_attempts, copy_role first_role)
        : id(description.id)
        , machine(description, max_attempts)
        , role(first_role)
    {
    }

    const request_id id;
    absl::Mutex mutex;
    request_machine machine;
    copy_role role;
    host_id owner; ///< of a copy: who runs it
    /// Callers see nothing before another host has the request, too.
    bool is_confirmed = false;
    /// Another host has been asked to run it and has not answered.
    bool is_relinquishing = false;
    std::optional<attempt_result> deferred_end;
    /// Where the next attempt goes, if that was chosen beforehand.
    std::shared_ptr<const upstream_entry> next_upstream;
    bool is_moving = false; ///< what is computed is on its way there
    absl::Time first_token_at;
    std::int64_t tokens_here = 0; ///< tokens since `first_token_at`
    absl::Time attempt_started;
    double weight = 1;       ///< of the workspace
    double charged_work = 0; ///< tokens, when it left the queue
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0; ///< of the whole answer
    std::vector<std::shared_ptr<answer_sink>> sinks;
    http_client::transfer_id transfer = 0;
    span attempt_span;
    timer_queue::timer_id deadline_timer = 0;
    absl::Time last_progress;
    absl::Time ended_at;
    std::size_t memory = 0;
};

} // namespace daleshelf
