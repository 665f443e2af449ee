#include "request_service.hpp"

#include "admission_service.hpp"
#include "node_state.hpp"
#include "request_observer.hpp"

#include <absl/time/clock.h>

#include <array>
#include <requests/move_choice.hpp>
#include <routing/router.hpp>
#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

std::string move_name(move_kind kind)
{
    static constexpr std::array<const char*, 3> names{"finish", "move_cache",
                                                      "recompute"};
    return names.at(static_cast<std::size_t>(kind));
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
    , m_requests(limits)
{
}

void request_service::set_observer(request_observer& observer)
{
    m_observer = &observer;
}

void request_service::start(const request_description& description,
                            std::shared_ptr<answer_sink> sink)
{
    const auto config = m_node.current_configuration();
    m_retries.count_first_attempt(config->policy().retry_budget_percent);
    const auto request = m_requests.find_or_add(description, copy_role::owner,
                                                config->policy().max_attempts);
    {
        absl::MutexLock lock(&request->mutex);
        request->sinks.push_back(std::move(sink));
        own(request);
        perform(request, request->machine.start());
    }
    m_observer->on_owned(description.id);
}

/// Counts the request as owned; its mutex is held.
void request_service::own(const request_ptr& request)
{
    request->role = copy_role::owner;
    request->owner = m_node.host();
    m_requests.count_owned(1);
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
    const auto request = m_requests.find(id);
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
    const auto request = m_requests.find(id);
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
    for (const auto& request : m_requests.all())
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
        situation.token_interval = (now - request->first_token_at) /
                                   static_cast<double>(request->tokens_here);
    }
    const auto produced = machine.answer().next().value();
    situation.max_remaining_tokens = request->max_tokens - produced;
    situation.context_tokens = request->prompt_tokens + produced;
    situation.has_stream_id = !machine.stream_id().empty();
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
    wanted.excluded = machine.tried_upstreams();
    wanted.is_limited = !machine.has_started();
    return m_node.routes().choose(deployment->upstreams, wanted);
}

std::size_t request_service::in_flight() const
{
    return m_requests.owned();
}

} // namespace daleshelf
