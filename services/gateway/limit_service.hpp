/// @file
/// How hosts learn of each other which upstreams have named a limit.
#pragma once

#include "gateway_state.hpp"
#include "peer_exchange.hpp"

#include <string_view>

namespace daleshelf
{

/// Gossips changed limits to a few peers at once, who pass them on, repeats
/// known ones slowly, since datagrams are lost, and sends all to a host that
/// has just started. See docs/design/upstream-limits.md.
class limit_service
{
public:
    limit_service(gateway_state& state, peer_exchange& peers);

    void start();

private:
    awaitable<void> send_updates();
    awaitable<void> repeat_known();
    void take(std::string_view bytes);
    void apply_updates();
    void greet(const std::string& address);

    gateway_state& m_state;
    peer_exchange& m_peers;
};

} // namespace daleshelf
