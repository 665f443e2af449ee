/// @file
/// Copies of requests on other entry hosts.
#pragma once

#include "answer_sink.hpp"
#include "request_observer.hpp"
#include "request_service.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <base/timer_queue.hpp>
#include <memory>
#include <protocol/generated/peer.pb.h>
#include <requests/host_choice.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

class node_state;
class peer_service;

/// Keeps a replica of every owned request on another host, takes over when an
/// owner is gone, hands requests off when this host is to go, and finds
/// requests for callers who ask at another host. See docs/design/requests.md.
class replication_service : public request_observer
{
public:
    /// All arguments must outlive this object.
    replication_service(node_state& node, peer_service& peers,
                        request_service& requests, span_exporter& spans);

    /// Starts the timers.
    void start();

    /// Sends what has not been sent yet.
    void stop();

    void on_owned(const request_id& id) override;
    void on_changed(const request_id& id) override;

    /// Finds a request at other hosts and hands its answer to a sink.
    /// @param id the request
    /// @param user workspace of who asks
    /// @param sink where the answer goes
    /// @param on_unknown called if no reachable host has it
    void fetch(const request_id& id, const workspace_id& user,
               std::shared_ptr<answer_sink> sink,
               const std::function<void()>& on_unknown);

    /// Hands all owned requests to other hosts, as soon as some take them.
    void start_handoff();

private:
    /// Who is told of a request's progress.
    struct subscriber
    {
        token_position next; ///< first token not sent
        absl::Time since;
    };

    /// What is sent out for one request.
    struct outgoing_state
    {
        absl::flat_hash_map<std::string, subscriber> by_address;
        host_id replica; ///< empty: none
        bool is_confirmed = false;
    };

    /// A caller's question after a request that is not known here.
    struct waiting_fetch
    {
        workspace_id user;
        std::shared_ptr<answer_sink> sink;
        std::function<void()> on_unknown;
        absl::Time deadline;
        absl::flat_hash_set<host_id> without; ///< hosts that do not have it
    };

    /// A request offered to another host.
    struct offered_request
    {
        host_id target;
        absl::Time sent;
    };

    void flush();
    void flush_later();
    void look_after_requests();
    void look_after_owned(const request_summary& request);
    void look_after_copy(const request_summary& request);
    void check_fetches();
    void offer(const request_id& id);
    std::size_t ask_for(const request_id& id, const workspace_id& user,
                        token_position from);
    void send_copy(const std::string& address, const request_id& id,
                   protocol::RequestCopy::Role role);
    void choose_new_replica(const request_id& id);
    void take_copy(const std::string& address,
                   const protocol::Envelope& envelope);
    void add_peer_span(const protocol::Envelope& envelope,
                       const request_description& description);
    void take_copy_taken(const protocol::Envelope& envelope);
    void take_unknown(const protocol::Envelope& envelope);
    void take_batch(const protocol::Envelope& envelope);
    void answer_fetch(const std::string& address,
                      const protocol::FetchRequest& request);
    std::vector<copy_candidate> candidates() const;
    std::string address_of(const host_id& host) const;

    node_state& m_node;
    peer_service& m_peers;
    request_service& m_requests;
    span_exporter& m_spans;
    absl::Mutex m_mutex;
    absl::flat_hash_set<request_id> m_dirty ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<request_id, outgoing_state>
        m_outgoing ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<request_id, std::vector<waiting_fetch>>
        m_fetches ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<request_id, offered_request>
        m_offers ABSL_GUARDED_BY(m_mutex);
    bool m_is_handing_off ABSL_GUARDED_BY(m_mutex) = false;
    timer_queue m_timers;
};

} // namespace daleshelf
