#include "admission_service.hpp"

#include "node_state.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds least_pause{250};
constexpr std::chrono::milliseconds longest_pause{30000};
constexpr double milliseconds_per_second = 1000;
constexpr double rate_averaging = 0.1;
// Before anything was measured: one request a second.
constexpr double least_rate = 1;

} // namespace

admission_service::admission_service(node_state& node)
    : m_node(node), m_queue(share_basis::work), m_last_departure(absl::Now())
{
}

std::optional<std::chrono::milliseconds>
admission_service::wait(const queued_request& request, absl::Time deadline,
                        turn_handler on_turn, refuse_handler on_refused)
{
    const auto config = m_node.current_configuration();
    const auto& policy = config->policy();
    absl::MutexLock lock(&m_mutex);
    m_queue.set_basis(policy.fair_share);
    // 1. Who would wait too long is told so now, not later.
    const auto predicted = predicted_wait(
        m_queue.requests_before(request.workspace, request.priority));
    const auto left = absl::ToChronoMilliseconds(deadline - absl::Now());
    const auto longest = std::min(policy.longest_queue_wait, left);
    if (predicted > longest)
    {
        return std::clamp(predicted, least_pause, longest_pause);
    }
    // 2. The prediction may be wrong; nobody waits longer than was allowed.
    auto& entry = m_waiting[request.id];
    entry.on_turn = std::move(on_turn);
    entry.on_refused = std::move(on_refused);
    entry.timer = m_timers.after(absl::FromChrono(longest),
                                 [this, id = request.id] { refuse(id); });
    m_queue.push(request);
    return std::nullopt;
}

std::chrono::milliseconds
admission_service::predicted_wait(std::int64_t before) const
{
    const auto rate = std::max(least_rate, m_departures_per_second);
    const auto wait =
        static_cast<double>(before + 1) / rate * milliseconds_per_second;
    return std::chrono::milliseconds(static_cast<std::int64_t>(wait));
}

bool admission_service::has_waiting() const
{
    absl::MutexLock lock(&m_mutex);
    return m_queue.size() > 0;
}

void admission_service::count_departure(absl::Time now)
{
    const auto gap =
        std::max(absl::ToDoubleSeconds(now - m_last_departure), 1e-4);
    m_last_departure = now;
    m_departures_per_second +=
        rate_averaging * (1 / gap - m_departures_per_second);
}

void admission_service::on_room()
{
    {
        absl::MutexLock lock(&m_mutex);
        count_departure(absl::Now());
        if (m_queue.size() == 0)
        {
            return;
        }
        m_has_more_room = true;
        if (m_is_serving)
        {
            return;
        }
        m_is_serving = true;
    }
    // NOTE: whoever reports room holds the lock of another request.
    m_timers.after(absl::ZeroDuration(), [this] { serve(); });
}

void admission_service::serve()
{
    while (true)
    {
        std::optional<queued_request> next;
        waiting_request entry;
        {
            absl::MutexLock lock(&m_mutex);
            next = m_queue.pop();
            if (!next)
            {
                m_is_serving = false;
                return;
            }
            m_has_more_room = false;
            const auto found = m_waiting.find(next->id);
            entry = found->second;
        }
        const auto result = entry.on_turn();
        absl::MutexLock lock(&m_mutex);
        const bool was_refused = !m_waiting.contains(next->id);
        if (result == turn::placed || was_refused)
        {
            m_timers.cancel(entry.timer);
            m_waiting.erase(next->id);
            continue;
        }
        m_queue.push_front(*next);
        if (!m_has_more_room)
        {
            m_is_serving = false;
            return;
        }
    }
}

void admission_service::refuse(const request_id& id)
{
    refuse_handler handler;
    std::chrono::milliseconds pause;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_waiting.find(id);
        if (found == m_waiting.end())
        {
            return;
        }
        handler = std::move(found->second.on_refused);
        m_waiting.erase(found);
        m_queue.remove(id);
        pause = std::clamp(
            predicted_wait(static_cast<std::int64_t>(m_queue.size())),
            least_pause, longest_pause);
    }
    handler(pause);
}

void admission_service::charge(const workspace_id& workspace, double weight,
                               double work)
{
    absl::MutexLock lock(&m_mutex);
    m_queue.charge(workspace, weight, work);
}

} // namespace daleshelf
