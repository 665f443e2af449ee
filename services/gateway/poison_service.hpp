/// @file
/// What this host does about requests that end servers.
#pragma once

#include "gateway_state.hpp"
#include "http_call.hpp"
#include "peer_exchange.hpp"

#include <poison/poison_record.hpp>

namespace daleshelf
{

/// Tells the fleet what is known of such requests, keeps what is proved on the
/// log, and reads that when it starts. See docs/design/poison.md.
class poison_service
{
public:
    poison_service(gateway_state& state, peer_exchange& peers);

    void start();

private:
    awaitable<void> run();
    awaitable<bool> read_log();
    awaitable<void> write(poison_record record);
    void take(std::string_view bytes);
    void take_record(const platform::keyed_record& record);
    void tell_news();
    void tell_starting(const std::string& address);
    void note_changes(const poison_record& record);

    gateway_state& m_state;
    peer_exchange& m_peers;
    http_caller m_store;
    absl::flat_hash_set<request_fingerprint> m_proved; ///< logged as such
};

} // namespace daleshelf
