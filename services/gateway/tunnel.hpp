/// @file
/// Connections to upstreams through a peer, opened by CONNECT (RFC 9110,
/// section 9.3.6). The relaying host only copies bytes: quota, retries, limits
/// and the execution verdict stay with the host that has the client.
#pragma once

#include "byte_channel.hpp"

#include <ingress/server_directory.hpp>
#include <memory>
#include <string>
#include <wire/message_head.hpp>

namespace daleshelf
{

struct gateway_state;

/// Result of opening a tunnel through one peer.
enum class tunnel_status
{
    connected,
    upstream_unreachable, ///< the peer could not connect to the upstream
    peer_unavailable,     ///< the peer did not respond, or does not relay now
};

struct tunnel_result
{
    tunnel_status status = tunnel_status::peer_unavailable;
    std::shared_ptr<byte_channel> channel; ///< null unless connected
    bool is_slow = false;                  ///< the peer did not respond in time
};

/// Opens a connection to an upstream through a peer.
/// @param peer_address IP:PORT of the peer
/// @param deadline when the attempt fails
awaitable<tunnel_result> open_tunnel(asio::io_context& context,
                                     std::string peer_address,
                                     server_entry server,
                                     monotonic::time_point deadline);

/// Relays connections of peers to upstreams that this host can connect to.
/// Upstreams are named by id, so that only listed ones can be reached.
class tunnel_server
{
public:
    explicit tunnel_server(gateway_state& state) : m_state(state) {}

    /// Responds to a CONNECT request, and relays until either side closes.
    awaitable<void> serve(request_head head,
                          std::shared_ptr<byte_channel> peer);

    /// @return tunnels that are open
    [[nodiscard]] std::int64_t open_count() const
    {
        return m_open_count;
    }

private:
    awaitable<void> respond(std::shared_ptr<byte_channel> peer, int status);
    [[nodiscard]] int rejection_status(const server_entry* server) const;

    gateway_state& m_state;
    std::int64_t m_open_count = 0;
};

} // namespace daleshelf
