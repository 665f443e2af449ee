/// @file
/// Gossip of the limits that upstreams announce.
#pragma once

#include "gateway_state.hpp"
#include "peer_exchange.hpp"

#include <string_view>

namespace daleshelf
{

/// Gossips changed limits to a few peers, which forward them. Repeats known
/// limits at a low rate, since datagrams may be lost, and sends the newest ones
/// to a host that has just started. See docs/design/upstream-limits.md.
class limit_service
{
public:
    limit_service(gateway_state& state, peer_exchange& peers);

    void start();

private:
    awaitable<void> send_updates();
    awaitable<void> repeat_known();
    [[nodiscard]] limit_table& table(limit_kind kind);
    void receive(std::string_view bytes);
    void apply_updates();
    void send_known(const std::string& address);

    gateway_state& m_state;
    peer_exchange& m_peers;
};

} // namespace daleshelf
