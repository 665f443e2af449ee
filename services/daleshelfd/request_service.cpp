#include "request_service.hpp"

#include "node_state.hpp"

#include <absl/time/clock.h>

#include <optional>
#include <requests/retry_decision.hpp>
#include <routing/router.hpp>
#include <telemetry/log.hpp>
#include <utility>
#include <variant>

namespace daleshelf
{

namespace
{

constexpr int status_unavailable = 503;
constexpr int status_too_many_requests = 429;
constexpr std::chrono::milliseconds overload_pause{1000};
constexpr absl::Duration failure_pause = absl::Seconds(1);
constexpr std::size_t bytes_per_request = 1024;

request_error unplaced_error(routing_choice::outcome why)
{
    if (why == routing_choice::outcome::overloaded)
    {
        return {status_too_many_requests, "overloaded",
                "all upstreams are at their limits", verdict::not_run,
                overload_pause};
    }
    return {status_unavailable, "no_upstream", "no upstream serves this now",
            verdict::not_run, overload_pause};
}

} // namespace

struct request_service::live_request
{
    live_request(const request_description& description,
                 std::int64_t max_attempts, std::shared_ptr<answer_sink> sink)
        : id(description.id)
        , machine(description, max_attempts)
        , sinks{std::move(sink)}
    {
    }

    const request_id id;
    absl::Mutex mutex;
    request_machine machine ABSL_GUARDED_BY(mutex);
    std::vector<std::shared_ptr<answer_sink>> sinks ABSL_GUARDED_BY(mutex);
    std::optional<request_error> error ABSL_GUARDED_BY(mutex);
    http_client::transfer_id transfer ABSL_GUARDED_BY(mutex) = 0;
    span attempt_span ABSL_GUARDED_BY(mutex);
    timer_queue::timer_id deadline_timer ABSL_GUARDED_BY(mutex) = 0;
    absl::Time ended_at; ///< written once, before it is kept
    std::size_t memory = 0;
};

request_service::request_service(node_state& node, engine_client& engines,
                                 span_exporter& spans,
                                 const kept_answer_limits& limits)
    : m_node(node), m_engines(engines), m_spans(spans), m_limits(limits)
{
}

void request_service::start(const request_description& description,
                            std::shared_ptr<answer_sink> sink)
{
    const auto config = m_node.current_configuration();
    const auto& policy = config->policy();
    auto request = std::make_shared<live_request>(
        description, policy.max_attempts, std::move(sink));
    {
        absl::MutexLock lock(&m_mutex);
        m_requests[description.id] = request;
        ++m_in_flight;
    }
    m_retries.count_first_attempt(policy.retry_budget_percent);
    absl::MutexLock lock(&request->mutex);
    request->deadline_timer =
        m_timers.after(description.deadline - absl::Now(),
                       [this, request]
                       {
                           absl::MutexLock timer_lock(&request->mutex);
                           perform(request, request->machine.on_deadline());
                       });
    perform(request, request->machine.begin());
}

bool request_service::attach(const request_id& id, const workspace_id& user,
                             std::shared_ptr<answer_sink> sink)
{
    const auto request = find(id);
    if (!request)
    {
        return false;
    }
    absl::MutexLock lock(&request->mutex);
    const auto& machine = request->machine;
    if (machine.description().workspace != user)
    {
        return false;
    }
    for (token_position position; position < machine.answer().next();
         position = position.next())
    {
        sink->on_token(machine, position);
    }
    if (request->error)
    {
        sink->on_fail(machine, *request->error);
    }
    else if (machine.is_ended())
    {
        sink->on_complete(machine);
    }
    else
    {
        request->sinks.push_back(std::move(sink));
    }
    return true;
}

void request_service::on_upstream_leaving(const upstream_id& id)
{
    std::vector<request_ptr> all;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto& [key, request] : m_requests)
        {
            all.push_back(request);
        }
    }
    for (const auto& request : all)
    {
        absl::MutexLock lock(&request->mutex);
        if (request->machine.upstream() != id || request->machine.is_ended())
        {
            continue;
        }
        log(events::request_moved,
            {{"request", request->machine.description().id.value()},
             {"from", id.value()}});
        perform(request, request->machine.on_upstream_leaving());
    }
}

std::size_t request_service::in_flight() const
{
    absl::MutexLock lock(&m_mutex);
    return m_in_flight;
}

request_service::request_ptr request_service::find(const request_id& id) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

void request_service::perform(const request_ptr& request,
                              const request_actions& actions)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    for (const auto& action : actions)
    {
        std::visit([&](const auto& one) { perform_one(request, one); }, action);
    }
}

void request_service::perform_one(const request_ptr& request,
                                  const start_attempt& action)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    auto& machine = request->machine;
    const auto& description = machine.description();
    const auto config = m_node.current_configuration();
    const auto* deployment =
        config->find_deployment(description.deployment, description.workspace);
    routing_choice choice;
    if (deployment != nullptr)
    {
        routing_request wanted;
        wanted.prefix = description.prefix;
        wanted.hall = m_node.hall();
        wanted.now = absl::Now();
        wanted.excluded = machine.tried();
        choice = choose_upstream(deployment->upstreams, wanted, m_node.loads());
    }
    if (choice.what != routing_choice::outcome::chosen)
    {
        perform(request, machine.on_unplaced(action.attempt,
                                             unplaced_error(choice.what)));
        return;
    }
    machine.set_upstream(action.attempt, choice.upstream->id);
    call_engine(request, action.attempt, *choice.upstream, "");
}

void request_service::perform_one(const request_ptr& request,
                                  const resume_stream& action)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    const auto config = m_node.current_configuration();
    const auto* upstream = config->find_upstream(action.upstream);
    if (upstream == nullptr)
    {
        attempt_result gone;
        gone.what = attempt_result::outcome::unreachable;
        gone.message = "the upstream is no longer declared";
        perform(request, request->machine.on_attempt_ended(
                             action.attempt, gone, m_retries.try_take()));
        return;
    }
    // A stream that runs already takes its place whatever the limit says.
    m_node.loads().try_begin(upstream->id, INT64_MAX);
    call_engine(request, action.attempt, *upstream, action.stream_id);
}

void request_service::call_engine(
    const request_ptr& request, const attempt_id& attempt,
    const upstream_entry& upstream,
    const std::string& resume_id) ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    auto& machine = request->machine;
    const auto parent =
        trace_context::from_header(machine.description().traceparent);
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
    handlers.on_stream = [request, attempt](const std::string& stream_id)
    {
        absl::MutexLock lock(&request->mutex);
        request->machine.on_stream(attempt, stream_id);
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
    absl::MutexLock lock(&request->mutex);
    auto hop = request->attempt_span;
    hop.end = absl::Now();
    m_spans.add(std::move(hop));
    if (request->machine.is_ended())
    {
        return;
    }
    using outcome = attempt_result::outcome;
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
    perform(request, request->machine.on_attempt_ended(attempt, result,
                                                       m_retries.try_take()));
}

void request_service::perform_one(const request_ptr& request,
                                  const cancel_attempt&)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
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
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    for (const auto& sink : request->sinks)
    {
        sink->on_token(request->machine, action.position);
    }
}

void request_service::perform_one(const request_ptr& request,
                                  const complete_request&)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    for (const auto& sink : std::exchange(request->sinks, {}))
    {
        sink->on_complete(request->machine);
    }
    end(request);
}

void request_service::perform_one(const request_ptr& request,
                                  const fail_request& action)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    request->error = action.error;
    const bool is_refusal = action.error.run() == verdict::not_run;
    log(is_refusal ? events::request_refused : events::request_failed,
        {{"request", request->machine.description().id.value()},
         {"code", action.error.code()},
         {"verdict", to_string(action.error.run())},
         {"cause", action.error.what()}});
    for (const auto& sink : std::exchange(request->sinks, {}))
    {
        sink->on_fail(request->machine, action.error);
    }
    end(request);
}

void request_service::end(const request_ptr& request)
    ABSL_NO_THREAD_SAFETY_ANALYSIS
{
    m_timers.cancel(request->deadline_timer);
    request->ended_at = absl::Now();
    request->memory = bytes_per_request + request->machine.answer().memory() +
                      request->machine.description().body.size();
    absl::MutexLock lock(&m_mutex);
    --m_in_flight;
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

} // namespace daleshelf
