#include "fair_queue.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Bounds in tokens for a weight of 1. The maximum deficit is about ten long
// requests.
constexpr double max_deficit = 20000;
constexpr double max_credit = 4000;
constexpr double min_weight = 0.001;

} // namespace

fair_queue::fair_queue(share_basis basis) : m_basis(basis) {}

double fair_queue::cost(const queued_request& request) const
{
    constexpr double uniform_work = 500;
    const auto work =
        m_basis == share_basis::work ? request.estimated_work : uniform_work;
    return work / std::max(request.weight, min_weight);
}

/// Bounds the credit that an idle workspace accumulates, and the deficit, so
/// that earlier work does not delay a workspace indefinitely.
double& fair_queue::virtual_time(const workspace_id& workspace)
{
    auto& value = m_virtual_times.try_emplace(workspace, m_system_virtual_time)
                      .first->second;
    value = std::clamp(value, m_system_virtual_time - max_credit,
                       m_system_virtual_time + max_deficit);
    return value;
}

void fair_queue::push(const queued_request& request)
{
    virtual_time(request.workspace);
    m_queues[request.priority][request.workspace].push_back(request);
    ++m_size;
}

void fair_queue::push_front(const queued_request& request)
{
    virtual_time(request.workspace) -= cost(request);
    m_queues[request.priority][request.workspace].push_front(request);
    ++m_size;
}

std::optional<queued_request> fair_queue::pop()
{
    if (m_queues.empty())
    {
        return std::nullopt;
    }
    const auto highest_priority = m_queues.begin();
    auto& queues = highest_priority->second;
    const auto next = std::min_element(
        queues.begin(), queues.end(),
        [this](const auto& left, const auto& right)
        { return virtual_time(left.first) < virtual_time(right.first); });
    auto request = next->second.front();
    next->second.pop_front();
    if (next->second.empty())
    {
        queues.erase(next);
    }
    if (queues.empty())
    {
        m_queues.erase(highest_priority);
    }
    --m_size;
    auto& workspace_time = virtual_time(request.workspace);
    m_system_virtual_time = std::max(m_system_virtual_time, workspace_time);
    workspace_time += cost(request);
    return request;
}

bool fair_queue::remove(const request_id& id)
{
    for (auto& [priority, queues] : m_queues)
    {
        for (auto& [workspace, queue] : queues)
        {
            const auto found = std::find_if(queue.begin(), queue.end(),
                                            [&id](const queued_request& item)
                                            { return item.id == id; });
            if (found == queue.end())
            {
                continue;
            }
            queue.erase(found);
            --m_size;
            if (queue.empty())
            {
                queues.erase(workspace);
            }
            if (queues.empty())
            {
                m_queues.erase(priority);
            }
            return true;
        }
    }
    return false;
}

void fair_queue::charge(const workspace_id& workspace, double weight,
                        double work)
{
    if (m_basis != share_basis::work)
    {
        return;
    }
    virtual_time(workspace) += work / std::max(weight, min_weight);
}

std::int64_t fair_queue::requests_before(const workspace_id& workspace,
                                         std::int64_t priority) const
{
    std::int64_t before = 0;
    for (const auto& [other_priority, queues] : m_queues)
    {
        if (other_priority < priority)
        {
            break;
        }
        if (other_priority > priority)
        {
            for (const auto& [other, queue] : queues)
            {
                before += static_cast<std::int64_t>(queue.size());
            }
            continue;
        }
        // At equal priority, all queued requests of the workspace are served
        // first. Every other workspace has one turn for each of these and one
        // for the new request.
        const auto own = queues.find(workspace);
        const auto own_size =
            own == queues.end() ? 0
                                : static_cast<std::int64_t>(own->second.size());
        for (const auto& [other, queue] : queues)
        {
            const auto size = static_cast<std::int64_t>(queue.size());
            before += other == workspace ? size : std::min(size, own_size + 1);
        }
    }
    return before;
}

} // namespace daleshelf
