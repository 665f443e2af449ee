// What the state machines of requests ask for: attempts at engines, waiting,
// answers. The request's mutex is held wherever nothing else is said.
#include "admission_service.hpp"
#include "node_state.hpp"
#include "request_observer.hpp"
#include "request_service.hpp"

#include <absl/time/clock.h>

#include <base/http_status.hpp>
#include <routing/router.hpp>
#include <telemetry/log.hpp>
#include <utility>
#include <variant>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds overload_pause{1000};
constexpr absl::Duration failure_pause = absl::Seconds(1);
constexpr std::size_t bytes_per_request = 1024;

request_error unplaced_error(routing_choice::outcome why)
{
    if (why == routing_choice::outcome::overloaded)
    {
        return {http_status::too_many_requests, "overloaded",
                "all upstreams are at their limits", verdict::not_run,
                overload_pause};
    }
    return {http_status::unavailable, "no_upstream",
            "no upstream serves this now", verdict::not_run, overload_pause};
}

} // namespace

void request_service::perform(const request_ptr& request,
                              const request_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit([&](const auto& one) { perform_one(request, one); }, action);
    }
}

void request_service::perform_one(const request_ptr& request,
                                  const start_attempt& action)
{
    if (const auto chosen = take_next_upstream(request))
    {
        place(request, action.attempt, chosen);
        return;
    }
    // Who comes now does not overtake those who wait; who has begun does.
    if (!action.is_retry && m_admission.has_waiting())
    {
        wait_for_room(request, action.attempt);
        return;
    }
    const auto choice = choose_upstream(request);
    if (choice.what == routing_choice::outcome::chosen)
    {
        place(request, action.attempt, choice.upstream);
        return;
    }
    if (choice.what == routing_choice::outcome::overloaded)
    {
        wait_for_room(request, action.attempt);
        return;
    }
    perform(request, request->machine.on_not_dispatched(
                         action.attempt, unplaced_error(choice.what)));
}

void request_service::place(
    const request_ptr& request, const attempt_id& attempt,
    const std::shared_ptr<const upstream_entry>& upstream)
{
    request->machine.set_upstream(attempt, upstream->id);
    call_engine(request, attempt, *upstream, "");
}

void request_service::wait_for_room(const request_ptr& request,
                                    const attempt_id& attempt)
{
    const auto& description = request->machine.description();
    queued_request queued;
    queued.id = request->id;
    queued.workspace = description.workspace;
    queued.weight = request->weight;
    queued.priority = description.priority;
    queued.estimated_work =
        static_cast<double>(request->prompt_tokens + request->max_tokens);
    request->charged_work = queued.estimated_work;
    const auto pause = m_admission.wait(
        queued, description.deadline,
        [this, request, attempt]
        {
            using turn = admission_service::turn;
            return try_turn(request, attempt) ? turn::placed : turn::no_room;
        },
        [this, request, attempt](std::chrono::milliseconds later)
        { refuse(request, attempt, later); });
    if (!pause)
    {
        return;
    }
    auto error = unplaced_error(routing_choice::outcome::overloaded);
    perform(request,
            request->machine.on_not_dispatched(
                attempt, request_error(error.status(), error.code(),
                                       error.what(), error.run(), *pause)));
}

/// @return false if there is still no room
bool request_service::try_turn(const request_ptr& request,
                               const attempt_id& attempt)
{
    absl::MutexLock lock(&request->mutex);
    const bool is_wanted =
        request->machine.attempt() == attempt && !request->machine.is_ended();
    if (!is_wanted)
    {
        return true;
    }
    const auto choice = choose_upstream(request);
    if (choice.what == routing_choice::outcome::overloaded)
    {
        return false;
    }
    if (choice.what == routing_choice::outcome::none)
    {
        perform(request, request->machine.on_not_dispatched(
                             attempt, unplaced_error(choice.what)));
        return true;
    }
    place(request, attempt, choice.upstream);
    return true;
}

void request_service::refuse(const request_ptr& request,
                             const attempt_id& attempt,
                             std::chrono::milliseconds pause)
{
    absl::MutexLock lock(&request->mutex);
    const auto error = unplaced_error(routing_choice::outcome::overloaded);
    perform(request,
            request->machine.on_not_dispatched(
                attempt, request_error(error.status(), error.code(),
                                       error.what(), error.run(), pause)));
}

/// Shows how long the first token took.
void request_service::count_first_token(const request_ptr& request)
{
    const auto now = absl::Now();
    const auto elapsed = now - request->attempt_started;
    m_node.metrics()
        .find_distribution("daleshelf_first_token_seconds",
                           "Time from an attempt to its first token.")
        .observe(absl::ToDoubleSeconds(elapsed));
}

/// Corrects what the workspace was charged by what the answer really took.
void request_service::charge(const request_ptr& request)
{
    const auto& usage = request->machine.usage();
    const auto work =
        static_cast<double>(usage.prefilled_tokens + usage.completion_tokens);
    m_admission.charge(request->machine.description().workspace,
                       request->weight, work - request->charged_work);
}

void request_service::perform_one(const request_ptr& request,
                                  const resume_stream& action)
{
    const auto config = m_node.current_configuration();
    const auto* upstream = config->find_upstream(action.upstream);
    if (upstream == nullptr)
    {
        attempt_result gone;
        gone.what = attempt_result::outcome::unreachable;
        gone.message = "the upstream is no longer declared";
        end_attempt(request, action.attempt, gone);
        return;
    }
    // A stream that runs already takes its place whatever the limit says.
    m_node.loads().begin(upstream->id);
    call_engine(request, action.attempt, *upstream, action.stream_id);
}

void request_service::call_engine(const request_ptr& request,
                                  const attempt_id& attempt,
                                  const upstream_entry& upstream,
                                  const std::string& resume_id)
{
    auto& machine = request->machine;
    const auto parent =
        trace_context::from_header(machine.description().traceparent);
    request->tokens_here = 0;
    request->attempt_started = absl::Now();
    auto& hop = request->attempt_span;
    hop.name = resume_id.empty() ? "upstream" : "upstream resume";
    hop.context = parent.child();
    hop.parent_span_id = parent.span_id;
    hop.start = absl::Now();
    hop.attributes = {{"upstream", upstream.id.value()},
                      {"attempt", attempt.value()}};
    engine_call call;
    call.url = upstream.url;
    call.attempt = attempt;
    call.description = machine.description();
    call.continuation = machine.answer().text();
    call.resume_stream = resume_id;
    call.from = machine.answer().next();
    call.traceparent = hop.context.to_header();
    request->transfer =
        m_engines.start(call, make_handlers(request, attempt, upstream.id));
}

engine_handlers request_service::make_handlers(const request_ptr& request,
                                               const attempt_id& attempt,
                                               const upstream_id& upstream)
{
    engine_handlers handlers;
    handlers.on_stream = [this, request, attempt](const std::string& stream_id)
    {
        absl::MutexLock lock(&request->mutex);
        request->machine.on_stream_id(attempt, stream_id);
        m_observer->on_changed(request->id);
    };
    handlers.on_token = [this, request, attempt](token_position position,
                                                 const std::string& text)
    {
        absl::MutexLock lock(&request->mutex);
        perform(request, request->machine.on_token(attempt, position, text));
    };
    handlers.on_finish = [this, request, attempt](token_position end,
                                                  const std::string& reason,
                                                  const answer_usage& usage)
    {
        absl::MutexLock lock(&request->mutex);
        perform(request,
                request->machine.on_finish(attempt, end, reason, usage));
    };
    handlers.on_ended =
        [this, request, attempt, upstream](const attempt_result& result)
    { on_attempt_ended(request, attempt, upstream, result); };
    return handlers;
}

void request_service::on_attempt_ended(const request_ptr& request,
                                       const attempt_id& attempt,
                                       const upstream_id& upstream,
                                       const attempt_result& result)
{
    m_node.loads().end(upstream);
    m_admission.on_room();
    absl::MutexLock lock(&request->mutex);
    auto hop = request->attempt_span;
    hop.end = absl::Now();
    m_spans.add(std::move(hop));
    const bool is_present = request->machine.attempt() == attempt &&
                            request->role == copy_role::owner &&
                            !request->machine.is_ended();
    if (!is_present)
    {
        return;
    }
    using outcome = attempt_result::outcome;
    if (request->is_relinquishing)
    {
        // The next owner may be reading the stream already.
        request->deferred_end = result;
        return;
    }
    const bool is_failed = result.what == outcome::unreachable ||
                           result.what == outcome::refused ||
                           result.what == outcome::broken;
    if (is_failed)
    {
        m_node.loads().set_failed(upstream, absl::Now() + failure_pause);
        log(events::upstream_failed, {{"upstream", upstream.value()},
                                      {"attempt", attempt.value()},
                                      {"status", result.status},
                                      {"cause", result.message}});
    }
    end_attempt(request, attempt, result);
}

void request_service::end_attempt(const request_ptr& request,
                                  const attempt_id& attempt,
                                  const attempt_result& result)
{
    perform(request, request->machine.on_attempt_ended(attempt, result,
                                                       m_retries.try_take()));
}

void request_service::perform_one(const request_ptr& request,
                                  const cancel_attempt&)
{
    const bool is_owner = request->role == copy_role::owner;
    if (!is_owner)
    {
        return;
    }
    m_engines.cancel(request->transfer);
    const auto config = m_node.current_configuration();
    const auto* upstream = config->find_upstream(request->machine.upstream());
    if (upstream != nullptr && !request->machine.stream_id().empty())
    {
        m_engines.cancel_stream(upstream->url, request->machine.stream_id());
    }
}

void request_service::perform_one(const request_ptr& request,
                                  const deliver_token& action)
{
    m_observer->on_changed(request->id);
    if (++request->tokens_here == 1)
    {
        request->first_token_at = absl::Now();
        count_first_token(request);
    }
    if (!request->is_confirmed)
    {
        return;
    }
    for (const auto& sink : request->sinks)
    {
        sink->on_token(request->machine, action.position);
    }
}

void request_service::perform_one(const request_ptr& request,
                                  const complete_request&)
{
    if (request->is_confirmed)
    {
        for (const auto& sink : std::exchange(request->sinks, {}))
        {
            sink->on_complete(request->machine);
        }
    }
    end(request);
}

void request_service::perform_one(const request_ptr& request,
                                  const fail_request& action)
{
    const bool is_refusal = action.error.run() == verdict::not_run;
    log(is_refusal ? events::request_refused : events::request_failed,
        {{"request", request->id.value()},
         {"code", action.error.code()},
         {"verdict", to_string(action.error.run())},
         {"cause", action.error.what()}});
    // A final answer that is an error waits for nobody.
    request->is_confirmed = true;
    for (const auto& sink : std::exchange(request->sinks, {}))
    {
        sink->on_fail(request->machine, action.error);
    }
    end(request);
}

void request_service::end(const request_ptr& request)
{
    m_observer->on_changed(request->id);
    m_timers.cancel(request->deadline_timer);
    if (request->role == copy_role::owner)
    {
        charge(request);
        m_requests.count_owned(-1);
    }
    request->ended_at = absl::Now();
    request->memory = bytes_per_request + request->machine.answer().memory() +
                      request->machine.description().body.size();
    m_requests.keep_ended(request);
}

} // namespace daleshelf
