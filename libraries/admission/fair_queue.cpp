#include "fair_queue.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Tokens, for a weight of one: about ten long requests.
constexpr double most_deficit = 20000;
constexpr double most_credit = 4000;
constexpr double least_weight = 0.001;

} // namespace

fair_queue::fair_queue(share_basis basis) : m_basis(basis) {}

double fair_queue::cost(const queued_request& request) const
{
    constexpr double work_of_any_request = 500;
    const auto work = m_basis == share_basis::work ? request.estimated_work
                                                   : work_of_any_request;
    return work / std::max(request.weight, least_weight);
}

/// Nobody saves up more than a little while idle, and nobody is held back for
/// ever for what was made before.
double& fair_queue::account(const workspace_id& workspace)
{
    auto& value = m_accounts.try_emplace(workspace, m_now).first->second;
    value = std::clamp(value, m_now - most_credit, m_now + most_deficit);
    return value;
}

void fair_queue::push(const queued_request& request)
{
    account(request.workspace);
    m_queues[request.priority][request.workspace].push_back(request);
    ++m_size;
}

void fair_queue::push_front(const queued_request& request)
{
    account(request.workspace) -= cost(request);
    m_queues[request.priority][request.workspace].push_front(request);
    ++m_size;
}

std::optional<queued_request> fair_queue::pop()
{
    if (m_queues.empty())
    {
        return std::nullopt;
    }
    const auto class_entry = m_queues.begin();
    auto& queues = class_entry->second;
    const auto next =
        std::min_element(queues.begin(), queues.end(),
                         [this](const auto& left, const auto& right) {
                             return account(left.first) < account(right.first);
                         });
    auto request = next->second.front();
    next->second.pop_front();
    if (next->second.empty())
    {
        queues.erase(next);
    }
    if (queues.empty())
    {
        m_queues.erase(class_entry);
    }
    --m_size;
    auto& charged = account(request.workspace);
    m_now = std::max(m_now, charged);
    charged += cost(request);
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
    account(workspace) += work / std::max(weight, least_weight);
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
        // Of its own class: what the workspace itself has waiting, and for
        // each of these one of every other workspace that waits.
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
