#include "replication_service.hpp"

#include "node_state.hpp"
#include "peer_service.hpp"
#include "peer_view.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <map>
#include <protocol/request_codec.hpp>
#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr absl::Duration flush_interval = absl::Milliseconds(50);
constexpr absl::Duration care_interval = absl::Milliseconds(250);
// How long an answer is held back for the replica's word at the most.
constexpr absl::Duration confirm_wait = absl::Milliseconds(100);
constexpr absl::Duration stale_time = absl::Milliseconds(750);

copy_role to_role(protocol::RequestCopy::Role role)
{
    if (role == protocol::RequestCopy::OWNER)
    {
        return copy_role::owner;
    }
    return role == protocol::RequestCopy::READER ? copy_role::reader
                                                 : copy_role::replica;
}

} // namespace

replication_service::replication_service(node_state& node, peer_service& peers,
                                         request_service& requests,
                                         span_exporter& spans)
    : m_node(node), m_peers(peers), m_requests(requests), m_spans(spans)
{
    using protocol::Envelope;
    m_requests.set_observer(*this);
    m_peers.set_handler(
        Envelope::kRequestCopy,
        [this](const std::string& address, const Envelope& envelope)
        { take_copy(address, envelope); });
    m_peers.set_handler(Envelope::kCopyTaken,
                        [this](const std::string&, const Envelope& envelope)
                        { take_copy_taken(envelope); });
    m_peers.set_handler(Envelope::kProgressBatch,
                        [this](const std::string&, const Envelope& envelope)
                        { take_batch(envelope); });
    m_peers.set_handler(Envelope::kFetchUnknown,
                        [this](const std::string&, const Envelope& envelope)
                        { take_unknown(envelope); });
    m_peers.set_handler(
        Envelope::kFetchRequest,
        [this](const std::string& address, const Envelope& envelope)
        { answer_fetch(address, envelope.fetch_request()); });
}

void replication_service::start()
{
    flush_later();
    look_after_requests();
}

void replication_service::stop()
{
    flush();
}

std::vector<copy_candidate> replication_service::candidates() const
{
    const auto view = m_node.peers();
    std::vector<copy_candidate> found;
    found.reserve(view->members.size());
    for (const auto& [id, item] : view->members)
    {
        found.push_back({id, item.hall, view->is_reachable(id),
                         item.is_draining || view->leaving.contains(id)});
    }
    return found;
}

std::string replication_service::address_of(const host_id& host) const
{
    const auto view = m_node.peers();
    const auto found = view->members.find(host);
    return found == view->members.end() ? "" : found->second.address;
}

// ---- Owned requests and their replicas.

void replication_service::on_owned(const request_id& id)
{
    choose_new_replica(id);
    m_timers.after(confirm_wait, [this, id] { m_requests.confirm(id); });
}

void replication_service::choose_new_replica(const request_id& id)
{
    const auto replica = choose_replica(id, m_node.hall(), candidates());
    {
        absl::MutexLock lock(&m_mutex);
        m_outgoing[id].replica = replica.value_or(host_id());
    }
    if (!replica)
    {
        m_node.metrics()
            .find_counter("daleshelf_requests_alone_total",
                          "Requests that no other host has a copy of.")
            .add();
        m_requests.confirm(id);
        return;
    }
    send_copy(address_of(*replica), id, protocol::RequestCopy::REPLICA);
}

void replication_service::send_copy(const std::string& address,
                                    const request_id& id,
                                    protocol::RequestCopy::Role role)
{
    const auto known = m_requests.snapshot(id, token_position(0));
    if (!known || address.empty())
    {
        return;
    }
    protocol::Envelope envelope;
    auto& copy = *envelope.mutable_request_copy();
    copy.set_role(role);
    *copy.mutable_description() = to_wire(known->description);
    *copy.mutable_progress() = to_wire(id, known->progress);
    const auto count = static_cast<std::int64_t>(known->progress.tokens.size());
    {
        absl::MutexLock lock(&m_mutex);
        m_outgoing[id].by_address[address] = {token_position(count),
                                              absl::Now()};
    }
    m_peers.send(address, std::move(envelope));
}

void replication_service::on_changed(const request_id& id)
{
    absl::MutexLock lock(&m_mutex);
    m_dirty.insert(id);
}

/// Sends what has come since the last time, one message a host.
void replication_service::flush()
{
    absl::flat_hash_set<request_id> dirty;
    {
        absl::MutexLock lock(&m_mutex);
        dirty.swap(m_dirty);
    }
    std::map<std::string, protocol::Envelope> batches;
    for (const auto& id : dirty)
    {
        std::vector<std::pair<std::string, token_position>> targets;
        {
            absl::MutexLock lock(&m_mutex);
            const auto found = m_outgoing.find(id);
            if (found == m_outgoing.end())
            {
                continue;
            }
            for (const auto& [address, target] : found->second.by_address)
            {
                targets.emplace_back(address, target.next);
            }
        }
        for (const auto& [address, next] : targets)
        {
            const auto known = m_requests.snapshot(id, next);
            if (!known)
            {
                continue;
            }
            const auto& progress = known->progress;
            *batches[address].mutable_progress_batch()->add_items() =
                to_wire(id, progress);
            const auto count =
                static_cast<std::int64_t>(progress.tokens.size());
            const bool is_ended = progress.is_complete || progress.error;
            absl::MutexLock lock(&m_mutex);
            auto& state = m_outgoing[id];
            state.by_address[address].next =
                token_position(next.value() + count);
            if (is_ended)
            {
                state.by_address.erase(address);
            }
        }
    }
    for (auto& [address, envelope] : batches)
    {
        m_peers.send(address, std::move(envelope));
    }
}

void replication_service::flush_later()
{
    flush();
    m_timers.after(flush_interval, [this] { flush_later(); });
}

void replication_service::look_after_requests()
{
    const auto summaries = m_requests.summaries();
    absl::flat_hash_set<request_id> known;
    for (const auto& request : summaries)
    {
        known.insert(request.id);
        if (request.is_ended)
        {
            continue;
        }
        if (request.role == copy_role::owner)
        {
            look_after_owned(request);
            continue;
        }
        look_after_copy(request);
    }
    {
        absl::MutexLock lock(&m_mutex);
        absl::erase_if(m_outgoing, [&known](const auto& entry)
                       { return !known.contains(entry.first); });
    }
    check_fetches();
    m_timers.after(care_interval, [this] { look_after_requests(); });
}

void replication_service::look_after_owned(const request_summary& request)
{
    host_id replica;
    bool is_handing_off = false;
    {
        absl::MutexLock lock(&m_mutex);
        replica = m_outgoing[request.id].replica;
        is_handing_off = m_is_handing_off;
    }
    if (is_handing_off)
    {
        offer(request.id);
        return;
    }
    const auto view = m_node.peers();
    const bool is_kept = !replica.empty() && view->is_reachable(replica) &&
                         !view->leaving.contains(replica) &&
                         !view->members.at(replica).is_draining;
    const auto better = choose_replica(request.id, m_node.hall(), candidates());
    if (!is_kept && better)
    {
        choose_new_replica(request.id);
    }
}

// ---- Copies of what other hosts run.

void replication_service::look_after_copy(const request_summary& request)
{
    // 1. The owner is gone: the replica runs the request from now on.
    const auto view = m_node.peers();
    const auto owner = view->members.find(request.owner);
    const bool is_owner_known = owner != view->members.end();
    const bool is_owner_gone =
        is_owner_known && (owner->second.state == member_state::dead ||
                           owner->second.state == member_state::left);
    if (is_owner_gone && request.role == copy_role::replica &&
        !m_node.is_draining())
    {
        m_requests.take_over(request.id);
        return;
    }
    // 2. A caller waits here and nothing comes: ask again, and others.
    const bool is_stale = absl::Now() - request.last_progress > stale_time;
    if (!request.has_sinks || !is_stale)
    {
        return;
    }
    const auto known = m_requests.snapshot(request.id, token_position(0));
    if (known)
    {
        const auto next =
            static_cast<std::int64_t>(known->progress.tokens.size());
        ask_for(request.id, known->description.workspace, token_position(next));
    }
}

void replication_service::take_copy(const std::string& address,
                                    const protocol::Envelope& envelope)
{
    const auto& copy = envelope.request_copy();
    request_snapshot snapshot{from_wire(copy.description()),
                              from_wire(copy.progress())};
    const auto id = snapshot.description.id;
    add_peer_span(envelope, snapshot.description);
    const bool is_offer = copy.role() == protocol::RequestCopy::OWNER;
    if (is_offer && m_node.is_draining())
    {
        return; // the sender will offer it elsewhere
    }
    m_requests.take_copy(snapshot, to_role(copy.role()),
                         host_id(envelope.from_host()));
    if (copy.role() != protocol::RequestCopy::READER)
    {
        protocol::Envelope reply;
        reply.mutable_copy_taken()->set_id(id.value());
        reply.mutable_copy_taken()->set_role(copy.role());
        m_peers.send(address, std::move(reply));
    }
    std::vector<waiting_fetch> waiting;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_fetches.find(id);
        if (found != m_fetches.end())
        {
            waiting = std::move(found->second);
            m_fetches.erase(found);
        }
    }
    for (const auto& fetch : waiting)
    {
        if (!m_requests.attach(id, fetch.user, fetch.sink))
        {
            fetch.on_unknown();
        }
    }
}

/// The hop from the entry host that runs a request to this one.
void replication_service::add_peer_span(const protocol::Envelope& envelope,
                                        const request_description& description)
{
    const auto parent = trace_context::from_header(description.traceparent);
    span hop;
    hop.name = "peer";
    hop.context = parent.child();
    hop.parent_span_id = parent.span_id;
    hop.start = absl::Now();
    hop.end = hop.start;
    hop.attributes = {{"from", envelope.from_host()},
                      {"host", m_node.host().value()},
                      {"role", protocol::RequestCopy::Role_Name(
                                   envelope.request_copy().role())}};
    m_spans.add(std::move(hop));
}

void replication_service::take_copy_taken(const protocol::Envelope& envelope)
{
    const auto& taken = envelope.copy_taken();
    const request_id id(taken.id());
    if (taken.role() == protocol::RequestCopy::REPLICA)
    {
        m_requests.confirm(id);
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        m_offers.erase(id);
    }
    m_requests.end_relinquish(id, true, host_id(envelope.from_host()));
}

void replication_service::take_batch(const protocol::Envelope& envelope)
{
    const host_id owner(envelope.from_host());
    for (const auto& item : envelope.progress_batch().items())
    {
        m_requests.take_progress(request_id(item.id()), from_wire(item), owner);
    }
}

} // namespace daleshelf
