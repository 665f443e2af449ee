// Finding a request for a caller that asks another host than the one that has
// it.
#include "node_state.hpp"
#include "peer_service.hpp"
#include "peer_view.hpp"
#include "replication_service.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <protocol/request_codec.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr absl::Duration fetch_wait = absl::Seconds(3);
// Hosts asked for a request in one go.
constexpr std::size_t asked_at_once = 8;

} // namespace

void replication_service::fetch(const request_id& id, const workspace_id& user,
                                std::shared_ptr<answer_sink> sink,
                                const std::function<void()>& on_unknown)
{
    {
        absl::MutexLock lock(&m_mutex);
        m_fetches[id].push_back(
            {user, std::move(sink), on_unknown, absl::Now() + fetch_wait, {}});
    }
    if (ask_for(id, user, token_position(0)) == 0)
    {
        {
            absl::MutexLock lock(&m_mutex);
            m_fetches.erase(id);
        }
        on_unknown(); // there is nobody to ask
    }
}

void replication_service::take_unknown(const protocol::Envelope& envelope)
{
    const request_id id(envelope.fetch_unknown().id());
    const host_id host(envelope.from_host());
    const auto asked =
        std::min(search_order(id, candidates()).size(), asked_at_once);
    std::vector<waiting_fetch> ended;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_fetches.find(id);
        if (found == m_fetches.end())
        {
            return;
        }
        auto& waiting = found->second;
        for (auto& fetch : waiting)
        {
            fetch.without.insert(host);
            if (fetch.without.size() >= asked)
            {
                ended.push_back(fetch);
            }
        }
        std::erase_if(waiting, [asked](const waiting_fetch& fetch)
                      { return fetch.without.size() >= asked; });
        if (waiting.empty())
        {
            m_fetches.erase(found);
        }
    }
    for (const auto& fetch : ended)
    {
        fetch.on_unknown();
    }
}

/// @return how many hosts were asked
std::size_t replication_service::ask_for(const request_id& id,
                                         const workspace_id& user,
                                         token_position from)
{
    auto order = search_order(id, candidates());
    if (order.size() > asked_at_once)
    {
        order.resize(asked_at_once);
    }
    for (const auto& host : order)
    {
        protocol::Envelope envelope;
        auto& request = *envelope.mutable_fetch_request();
        request.set_id(id.value());
        request.set_workspace(user.value());
        request.set_from(from.value());
        m_peers.send(host, std::move(envelope));
    }
    return order.size();
}

void replication_service::answer_fetch(const std::string& address,
                                       const protocol::FetchRequest& request)
{
    const request_id id(request.id());
    const auto known = m_requests.snapshot(id, token_position(0));
    // NOTE: whether the id exists is nobody's business but its workspace's.
    if (!known ||
        known->description.workspace != workspace_id(request.workspace()))
    {
        protocol::Envelope reply;
        reply.mutable_fetch_unknown()->set_id(id.value());
        m_peers.send(address, std::move(reply));
        return;
    }
    send_copy(address, id, protocol::RequestCopy::READER);
}

void replication_service::check_fetches()
{
    std::vector<waiting_fetch> ended;
    std::vector<std::pair<request_id, workspace_id>> open;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto& [id, waiting] : m_fetches)
        {
            for (auto& fetch : waiting)
            {
                if (absl::Now() > fetch.deadline)
                {
                    ended.push_back(fetch);
                    continue;
                }
                open.emplace_back(id, fetch.user);
            }
            std::erase_if(waiting, [](const waiting_fetch& fetch)
                          { return absl::Now() > fetch.deadline; });
        }
        absl::erase_if(m_fetches,
                       [](const auto& entry) { return entry.second.empty(); });
    }
    for (const auto& fetch : ended)
    {
        fetch.on_unknown();
    }
    for (const auto& [id, user] : open)
    {
        ask_for(id, user, token_position(0));
    }
}

} // namespace daleshelf
