/// @file
/// Messages between entry hosts and the view of the fleet.
#pragma once

#include <base/identifiers.hpp>
#include <functional>
#include <map>
#include <membership/membership.hpp>
#include <protocol/generated/peer.pb.h>
#include <protocol/peer_transport.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

class control_thread;
class node_state;

/// Runs the membership protocol on the control thread.
class peer_service
{
public:
    using content_handler = std::function<void(const std::string& from_address,
                                               const protocol::Envelope&)>;

    /// Joins the fleet; all references must outlive this object.
    /// @param control runs the protocol
    /// @param node takes the view of the fleet
    /// @param options where to listen
    /// @param seeds IP:PORT of some other entry hosts
    /// @param on_host_leaving called on the control thread with each host of
    ///        the platform that peers say is leaving
    peer_service(control_thread& control, node_state& node,
                 const peer_transport_options& options,
                 std::vector<std::string> seeds,
                 std::function<void(const host_id&)> on_host_leaving);
    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;
    ~peer_service() = default;

    /// Starts to gossip, once all handlers are set.
    void start();

    /// Tells some others that this host ends, and stops listening.
    void stop();

    /// @param content which content of an envelope
    /// @param handler called with it on the transport's thread
    void set_handler(protocol::Envelope::ContentCase content,
                     content_handler handler);

    /// Sends to a host of the fleet; may be called from any thread.
    /// @return false if the host is not known
    bool send(const host_id& host, protocol::Envelope envelope);

    /// Sends to an address; may be called from any thread.
    void send(const std::string& address, protocol::Envelope envelope);

    /// Asks hosts for their state; may be called from any thread.
    void ask(const std::vector<host_id>& hosts);

    /// This host has applied the log up to there.
    void set_applied(log_offset applied);

    /// This host takes no new requests.
    void set_draining();

    /// Passes on that a host of the platform is leaving.
    void add_leaving(const host_id& host);

    /// Called on the control thread whenever the fleet's view has changed.
    void set_view_handler(std::function<void()> handler);

    /// Test fault: cuts this host off from an address, one way.
    void set_cut(const std::string& address, cut_direction direction,
                 bool is_cut);

    [[nodiscard]] const peer_transport& transport() const
    {
        return m_transport;
    }

private:
    void tick();
    void receive(const protocol::Envelope& envelope);
    void send_all(const std::vector<outgoing_gossip>& messages);
    void publish();

    control_thread& m_control;
    node_state& m_node;
    std::function<void(const host_id&)> m_on_host_leaving;
    std::function<void()> m_on_view;
    std::map<protocol::Envelope::ContentCase, content_handler> m_handlers;
    std::set<host_id> m_known_leaving;
    std::uint64_t m_published_revision = UINT64_MAX;
    peer_transport m_transport;
    membership m_membership;
};

} // namespace daleshelf
