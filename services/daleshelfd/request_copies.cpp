// Copies of requests that other hosts run, and the way from one to the other.
#include "node_state.hpp"
#include "request_observer.hpp"
#include "request_service.hpp"

#include <absl/time/clock.h>

#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

void request_service::take_copy(const request_snapshot& snapshot,
                                copy_role role, const host_id& owner)
{
    const auto request = m_requests.find_or_add(
        snapshot.description, role,
        m_node.current_configuration()->policy().max_attempts);
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
    const auto request = m_requests.find(id);
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
    const auto request = m_requests.find(id);
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
    const auto request = m_requests.find(id);
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
    const auto request = m_requests.find(id);
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
    m_requests.count_owned(-1);
}

std::optional<request_snapshot>
request_service::snapshot(const request_id& id, token_position from) const
{
    const auto request = m_requests.find(id);
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
    for (const auto& request : m_requests.all())
    {
        absl::MutexLock lock(&request->mutex);
        shown.push_back({request->id, request->role, request->owner,
                         request->machine.is_ended(), !request->sinks.empty(),
                         request->last_progress});
    }
    return shown;
}

} // namespace daleshelf
