#include "request_service.hpp"

#include "admission_service.hpp"
#include "node_state.hpp"
#include "request_observer.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <requests/move_choice.hpp>
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

std::string move_name(move_kind kind)
{
    static constexpr std::array<const char*, 3> names{"finish", "move_cache",
                                                      "recompute"};
    return names.at(static_cast<std::size_t>(kind));
}

/// @return what the body says; what engines take if it says nothing
std::int64_t read_max_tokens(const request_description& description)
{
    constexpr std::int64_t engine_default = 16;
    const auto body = parse_object(description.body);
    return find_integer(body, "max_tokens").value_or(engine_default);
}

} // namespace

request_service::request_service(node_state& node, engine_client& engines,
                                 admission_service& admission,
                                 span_exporter& spans,
                                 const kept_answer_limits& limits)
    : m_node(node)
    , m_engines(engines)
    , m_admission(admission)
    , m_spans(spans)
    , m_limits(limits)
{
}

void request_service::set_observer(request_observer& observer)
{
    m_observer = &observer;
}

// ---- What this host runs.

void request_service::start(const request_description& description,
                            std::shared_ptr<answer_sink> sink)
{
    const auto config = m_node.current_configuration();
    m_retries.count_first_attempt(config->policy().retry_budget_percent);
    const auto request = find_or_add(description, copy_role::owner);
    {
        absl::MutexLock lock(&request->mutex);
        request->sinks.push_back(std::move(sink));
        own(request);
        perform(request, request->machine.begin());
    }
    m_observer->on_owned(description.id);
}

/// Counts the request as owned; its mutex is held.
void request_service::own(const request_ptr& request)
{
    request->role = copy_role::owner;
    request->owner = m_node.host();
    {
        absl::MutexLock lock(&m_mutex);
        ++m_in_flight;
    }
    watch_deadline(request);
}

void request_service::watch_deadline(const request_ptr& request)
{
    m_timers.cancel(request->deadline_timer);
    const auto left = request->machine.description().deadline - absl::Now();
    request->deadline_timer =
        m_timers.after(left, [this, request] { on_deadline(request); });
}

void request_service::on_deadline(const request_ptr& request)
{
    absl::MutexLock lock(&request->mutex);
    perform(request, request->machine.on_deadline());
}

void request_service::confirm(const request_id& id)
{
    const auto request = find(id);
    if (!request)
    {
        return;
    }
    absl::MutexLock lock(&request->mutex);
    if (request->is_confirmed)
    {
        return;
    }
    request->is_confirmed = true;
    const auto waiting = std::exchange(request->sinks, {});
    for (const auto& sink : waiting)
    {
        show(*request, sink);
    }
}

/// Feeds a sink with what is there and keeps it if more is to come; the
/// request's mutex is held.
void request_service::show(live_request& request,
                           const std::shared_ptr<answer_sink>& sink)
{
    const auto& machine = request.machine;
    if (!request.is_confirmed)
    {
        request.sinks.push_back(sink);
        return;
    }
    for (token_position position; position < machine.answer().next();
         position = position.next())
    {
        sink->on_token(machine, position);
    }
    if (machine.error())
    {
        sink->on_fail(machine, *machine.error());
    }
    else if (machine.is_ended())
    {
        sink->on_complete(machine);
    }
    else
    {
        request.sinks.push_back(sink);
    }
}

bool request_service::attach(const request_id& id, const workspace_id& user,
                             const std::shared_ptr<answer_sink>& sink)
{
    const auto request = find(id);
    if (!request)
    {
        return false;
    }
    absl::MutexLock lock(&request->mutex);
    if (request->machine.description().workspace != user)
    {
        return false;
    }
    show(*request, sink);
    return true;
}

void request_service::on_upstream_leaving(const upstream_id& id,
                                          absl::Time leaves_at)
{
    for (const auto& request : all())
    {
        absl::MutexLock lock(&request->mutex);
        const auto& machine = request->machine;
        const bool is_meant = request->role == copy_role::owner &&
                              !request->is_relinquishing &&
                              machine.upstream() == id;
        if (is_meant && !machine.is_ended())
        {
            leave_upstream(request, leaves_at);
        }
    }
}

/// The request's mutex is held.
void request_service::leave_upstream(const request_ptr& request,
                                     absl::Time leaves_at)
{
    const auto& machine = request->machine;
    const auto now = absl::Now();
    move_situation situation;
    situation.time_left = leaves_at - now;
    if (request->tokens_here > 1)
    {
        situation.between_tokens = (now - request->first_token_at) /
                                   static_cast<double>(request->tokens_here);
    }
    const auto produced = machine.answer().next().value();
    situation.tokens_left = request->max_tokens - produced;
    situation.tokens_held = request->prompt_tokens + produced;
    situation.has_stream = !machine.stream_id().empty();
    const auto config = m_node.current_configuration();
    const auto kind = choose_move(situation, config->policy().move);
    m_node.metrics()
        .find_counter("daleshelf_requests_leaving_total",
                      "Requests at upstreams that were leaving.",
                      "way=\"" + move_name(kind) + "\"")
        .add();
    if (kind == move_kind::finish)
    {
        return;
    }
    log(events::request_moved, {{"request", request->id.value()},
                                {"from", machine.upstream().value()},
                                {"way", move_name(kind)}});
    if (kind == move_kind::move_cache)
    {
        move_cache(request, situation.time_left);
        return;
    }
    go_on_elsewhere(request, machine.attempt());
}

/// The old stream goes on while what it has computed is on its way.
void request_service::move_cache(const request_ptr& request,
                                 absl::Duration time_left)
{
    if (request->is_moving)
    {
        return;
    }
    const auto& machine = request->machine;
    const auto attempt = machine.attempt();
    const auto config = m_node.current_configuration();
    const auto* from = config->find_upstream(machine.upstream());
    const auto choice = choose_upstream(request);
    if (from == nullptr || choice.what != routing_choice::outcome::chosen)
    {
        return; // it stays while it can; its end is dealt with as any other
    }
    request->is_moving = true;
    request->next_upstream = choice.upstream;
    m_engines.move_cache(from->url, machine.stream_id(), choice.upstream->url,
                         absl::ToChronoMilliseconds(time_left / 2),
                         [this, request, attempt](bool)
                         {
                             // Without the cache it is computed again.
                             absl::MutexLock lock(&request->mutex);
                             request->is_moving = false;
                             go_on_elsewhere(request, attempt);
                         });
}

void request_service::go_on_elsewhere(const request_ptr& request,
                                      const attempt_id& attempt)
{
    const bool is_present = request->machine.attempt() == attempt &&
                            request->role == copy_role::owner &&
                            !request->machine.is_ended() &&
                            !request->is_relinquishing;
    if (is_present)
    {
        perform(request, request->machine.on_upstream_leaving());
    }
    // A place that was not used after all is given back.
    if (const auto unused = take_next_upstream(request))
    {
        m_node.loads().end(unused->id);
    }
}

std::shared_ptr<const upstream_entry>
request_service::take_next_upstream(const request_ptr& request)
{
    return std::exchange(request->next_upstream, nullptr);
}

/// Chooses an upstream that the request has not been at and counts it in.
routing_choice request_service::choose_upstream(const request_ptr& request)
{
    const auto& machine = request->machine;
    const auto& description = machine.description();
    const auto config = m_node.current_configuration();
    const auto* deployment =
        config->find_deployment(description.deployment, description.workspace);
    if (deployment == nullptr)
    {
        return {};
    }
    routing_request wanted;
    wanted.prefix = description.prefix;
    wanted.prompt_tokens = request->prompt_tokens;
    wanted.now = absl::Now();
    wanted.strategy = config->policy().routing;
    wanted.excluded = machine.tried();
    wanted.is_limited = !machine.has_begun();
    return m_node.routes().choose(deployment->upstreams, wanted);
}

std::size_t request_service::in_flight() const
{
    absl::MutexLock lock(&m_mutex);
    return m_in_flight;
}

// ---- Copies of what other hosts run, and the way from one to the other.

void request_service::take_copy(const request_snapshot& snapshot,
                                copy_role role, const host_id& owner)
{
    const auto request = find_or_add(snapshot.description, role);
    bool is_owned_now = false;
    {
        absl::MutexLock lock(&request->mutex);
        // NOTE: a late copy must not make an owner a replica again.
        if (request->role == copy_role::owner &&
            request->owner == m_node.host())
        {
            return;
        }
        request->is_confirmed = true;
        request->owner = owner;
        request->last_progress = absl::Now();
        const bool was_reader = request->role == copy_role::reader;
        if (was_reader && role == copy_role::replica)
        {
            request->role = role;
        }
        perform(request, request->machine.on_progress(snapshot.progress));
        if (request->deadline_timer == 0)
        {
            watch_deadline(request);
        }
        is_owned_now = role == copy_role::owner && !request->machine.is_ended();
        if (is_owned_now)
        {
            own(request);
            perform(request,
                    request->machine.take_over(takeover_cause::relinquished));
        }
    }
    if (is_owned_now)
    {
        m_observer->on_owned(request->id);
    }
}

void request_service::take_progress(const request_id& id,
                                    const request_progress& progress,
                                    const host_id& owner)
{
    const auto request = find(id);
    if (!request)
    {
        return;
    }
    absl::MutexLock lock(&request->mutex);
    if (request->role == copy_role::owner)
    {
        return;
    }
    request->owner = owner;
    request->last_progress = absl::Now();
    perform(request, request->machine.on_progress(progress));
}

void request_service::take_over(const request_id& id)
{
    const auto request = find(id);
    if (!request)
    {
        return;
    }
    {
        absl::MutexLock lock(&request->mutex);
        if (request->role == copy_role::owner || request->machine.is_ended())
        {
            return;
        }
        log(events::request_taken_over,
            {{"request", id.value()}, {"from", request->owner.value()}});
        own(request);
        perform(request,
                request->machine.take_over(takeover_cause::owner_lost));
    }
    m_observer->on_owned(id);
}

std::optional<request_snapshot>
request_service::begin_relinquish(const request_id& id)
{
    const auto request = find(id);
    if (!request)
    {
        return std::nullopt;
    }
    absl::MutexLock lock(&request->mutex);
    const auto& machine = request->machine;
    // NOTE: what may run once only and was not sent stays: an offer whose
    // answer is lost could not be taken back.
    const bool may_offer =
        machine.description().repeats == repeatability::repeatable ||
        machine.run() != verdict::not_run;
    if (request->role != copy_role::owner || machine.is_ended() || !may_offer)
    {
        return std::nullopt;
    }
    request->is_relinquishing = true;
    return request_snapshot{machine.description(),
                            machine.progress(token_position(0))};
}

void request_service::end_relinquish(const request_id& id, bool is_taken,
                                     const host_id& owner)
{
    const auto request = find(id);
    if (!request)
    {
        return;
    }
    absl::MutexLock lock(&request->mutex);
    if (!request->is_relinquishing)
    {
        return;
    }
    request->is_relinquishing = false;
    const auto deferred = std::exchange(request->deferred_end, std::nullopt);
    if (request->machine.is_ended())
    {
        return;
    }
    if (!is_taken)
    {
        if (deferred)
        {
            end_attempt(request, request->machine.attempt(), *deferred);
        }
        return;
    }
    log(events::request_handed_off,
        {{"request", id.value()}, {"to", owner.value()}});
    request->role = copy_role::replica;
    request->owner = owner;
    request->last_progress = absl::Now();
    // The engine's stream goes on; only this host stops reading it.
    m_engines.cancel(request->transfer);
    for (const auto& sink : std::exchange(request->sinks, {}))
    {
        sink->on_moved(request->machine);
    }
    absl::MutexLock count_lock(&m_mutex);
    --m_in_flight;
}

std::optional<request_snapshot>
request_service::snapshot(const request_id& id, token_position from) const
{
    const auto request = find(id);
    if (!request)
    {
        return std::nullopt;
    }
    absl::MutexLock lock(&request->mutex);
    const auto& machine = request->machine;
    return request_snapshot{machine.description(), machine.progress(from)};
}

std::vector<request_summary> request_service::summaries() const
{
    std::vector<request_summary> shown;
    for (const auto& request : all())
    {
        absl::MutexLock lock(&request->mutex);
        shown.push_back({request->id, request->role, request->owner,
                         request->machine.is_ended(), !request->sinks.empty(),
                         request->last_progress});
    }
    return shown;
}

// ---- What the state machines ask for. The request's mutex is held.

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
    perform(request, request->machine.on_unplaced(action.attempt,
                                                  unplaced_error(choice.what)));
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
            request->machine.on_unplaced(
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
        perform(request, request->machine.on_unplaced(
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
            request->machine.on_unplaced(
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
        request->machine.on_stream(attempt, stream_id);
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
    }
    request->ended_at = absl::Now();
    request->memory = bytes_per_request + request->machine.answer().memory() +
                      request->machine.description().body.size();
    keep_ended(request);
}

// ---- The table of requests.

void request_service::keep_ended(const request_ptr& request)
{
    absl::MutexLock lock(&m_mutex);
    if (request->role == copy_role::owner)
    {
        --m_in_flight;
    }
    m_ended.push_back(request);
    m_ended_bytes += request->memory;
    forget_old();
}

void request_service::forget_old()
{
    while (!m_ended.empty())
    {
        const auto& oldest = m_ended.front();
        const bool is_old = absl::Now() - oldest->ended_at > m_limits.time;
        if (!is_old && m_ended_bytes <= m_limits.bytes)
        {
            return;
        }
        m_ended_bytes -= oldest->memory;
        m_requests.erase(oldest->id);
        m_ended.pop_front();
    }
}

request_service::request_ptr request_service::find(const request_id& id) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

request_service::request_ptr
request_service::find_or_add(const request_description& description,
                             copy_role role)
{
    const auto config = m_node.current_configuration();
    absl::MutexLock lock(&m_mutex);
    auto& entry = m_requests[description.id];
    if (!entry)
    {
        const auto first_role =
            role == copy_role::owner ? copy_role::replica : role;
        entry = std::make_shared<live_request>(
            description, config->policy().max_attempts, first_role);
        entry->prompt_tokens = estimate_tokens(description.body);
        entry->max_tokens = read_max_tokens(description);
    }
    return entry;
}

std::vector<request_service::request_ptr> request_service::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<request_ptr> requests;
    requests.reserve(m_requests.size());
    for (const auto& [id, request] : m_requests)
    {
        requests.push_back(request);
    }
    return requests;
}

} // namespace daleshelf
