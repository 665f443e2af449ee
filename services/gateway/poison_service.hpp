/// @file
/// Distribution and storage of poison records: evidence on requests that crash
/// upstreams.
#pragma once

#include "gateway_state.hpp"
#include "http_call.hpp"
#include "peer_exchange.hpp"

#include <poison/poison_record.hpp>

namespace daleshelf
{

/// Gossips poison records to the fleet, writes confirmed ones to the log, and
/// reads them back at startup. See docs/design/poison.md.
class poison_service
{
public:
    poison_service(gateway_state& state, peer_exchange& peers);

    void start();

private:
    awaitable<void> run();
    awaitable<bool> read_log();
    awaitable<void> write_record(poison_record record);
    void receive(std::string_view bytes);
    void apply_record(const platform::keyed_record& record);
    void send_updates();
    void send_known(const std::string& address);
    void handle_confirmation(const poison_record& record);

    gateway_state& m_state;
    peer_exchange& m_peers;
    http_caller m_store;
    /// Requests that were logged as confirmed.
    absl::flat_hash_set<request_fingerprint> m_confirmed;
};

} // namespace daleshelf
