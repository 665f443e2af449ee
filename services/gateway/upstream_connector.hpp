/// @file
/// Opens connections to upstreams, directly or through peers.
#pragma once

#include "server_connection.hpp"

#include <functional>
#include <ingress/link_monitor.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

struct gateway_state;
struct tunnel_result;

/// A peer that can relay connections.
struct relay_peer
{
    host_id name;
    std::string address; ///< IP:PORT
};

/// Opens connections to upstreams. While this host's own links are cut and a
/// peer's are not, connections go through a peer. See
/// docs/design/partitions.md.
class upstream_connector
{
public:
    using peer_source = std::function<std::vector<relay_peer>()>;

    explicit upstream_connector(gateway_state& state);

    /// Sets the source of peers that may relay, in the order of preference.
    void set_peers(peer_source peers)
    {
        m_peers = std::move(peers);
    }

    /// Takes an idle connection to the upstream, or opens one.
    /// @param is_repeatable whether a request that meets the close of an idle
    /// connection can be sent again
    /// @param deadline when the attempt fails
    awaitable<server_connect_result> connect(server_entry server,
                                             bool is_repeatable,
                                             monotonic::time_point deadline);

    /// Opens a direct connection, and records whether it could be made.
    awaitable<server_connect_result>
    connect_directly(server_entry server, monotonic::time_point deadline);

    /// Verifies with peers and other upstreams that an upstream whose port
    /// appears closed has failed, and that the links of this host have not.
    /// @return whether it has failed
    awaitable<bool> has_failed(server_entry server);

    /// Verifies that this host can connect to some upstream other than the one
    /// whose attempt failed.
    awaitable<bool> are_links_usable(server_entry failed);

    /// Records a response of a service.
    void record_response(const service_name& service);

    /// Returns a connection to the pool after a complete response.
    void keep(std::unique_ptr<server_connection> connection);

    [[nodiscard]] const link_monitor& links() const
    {
        return m_links;
    }

private:
    awaitable<server_connect_result>
    connect_through_peer(server_entry server, monotonic::time_point deadline);
    awaitable<tunnel_result> ask_peers(server_entry server,
                                       monotonic::time_point deadline,
                                       relay_peer& used);
    void handle_relayed(const server_entry& server, const relay_peer& peer);
    awaitable<bool> can_connect(server_entry server);
    void start_probing();
    awaitable<void> probe_links();
    awaitable<void> probe(service_name service);
    [[nodiscard]] std::vector<server_entry>
    control_servers(const upstream_id& excluded) const;

    gateway_state& m_state;
    link_monitor m_links;
    peer_source m_peers;
    bool m_is_probing = false;
};

} // namespace daleshelf
