// Handing requests to other hosts before this one goes.
#include "node_state.hpp"
#include "peer_service.hpp"
#include "peer_view.hpp"
#include "replication_service.hpp"

#include <absl/time/clock.h>

#include <protocol/request_codec.hpp>

namespace daleshelf
{

namespace
{

constexpr absl::Duration offer_wait = absl::Milliseconds(500);

} // namespace

void replication_service::start_handoff()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_is_handing_off = true;
    }
    for (const auto& request : m_requests.summaries())
    {
        if (request.role == copy_role::owner && !request.is_ended)
        {
            offer(request.id);
        }
    }
}

void replication_service::offer(const request_id& id)
{
    // docs/design/requests.md, "Handing off".
    // 1. One offer at a time; a host that does not answer is given up.
    host_id given_up;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_offers.find(id);
        if (found != m_offers.end())
        {
            if (absl::Now() - found->second.sent < offer_wait)
            {
                return;
            }
            given_up = found->second.target;
            m_offers.erase(found);
        }
    }
    if (!given_up.empty())
    {
        m_requests.end_relinquish(id, false, given_up);
    }
    // 2. The replica has it already and comes first.
    host_id target;
    {
        absl::MutexLock lock(&m_mutex);
        target = m_outgoing[id].replica;
    }
    const auto view = m_node.peers();
    const bool is_fit = !target.empty() && target != given_up &&
                        view->is_reachable(target) &&
                        !view->leaving.contains(target) &&
                        !view->members.at(target).is_draining;
    if (!is_fit)
    {
        auto others = candidates();
        std::erase_if(others, [&given_up](const copy_candidate& item)
                      { return item.host == given_up; });
        target = choose_replica(id, m_node.hall(), others).value_or(host_id());
    }
    if (target.empty())
    {
        return; // nobody is there; it goes on here while it can
    }
    // 3. Nothing is decided here until the answer or the end of the wait.
    if (!m_requests.begin_relinquish(id))
    {
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        m_offers[id] = {target, absl::Now()};
    }
    send_copy(address_of(target), id, protocol::RequestCopy::OWNER);
}

} // namespace daleshelf
