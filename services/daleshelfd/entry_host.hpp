/// @file
/// All parts of one daleshelfd process, wired together.
#pragma once

#include "admission_service.hpp"
#include "caller_api.hpp"
#include "claim_service.hpp"
#include "configuration_follower.hpp"
#include "control_thread.hpp"
#include "daemon_settings.hpp"
#include "freshness_gate.hpp"
#include "node_state.hpp"
#include "operator_api.hpp"
#include "peer_service.hpp"
#include "planner_service.hpp"
#include "platform_watcher.hpp"
#include "replication_service.hpp"
#include "request_service.hpp"
#include "service_calls.hpp"

#include <absl/synchronization/notification.h>

#include <http/http_client.hpp>
#include <http/http_server.hpp>
#include <memory>
#include <platform/log_client.hpp>
#include <telemetry/span_exporter.hpp>
#include <upstreams/engine_client.hpp>

namespace daleshelf
{

/// One running daemon on its host.
class entry_host
{
public:
    /// Starts all parts and listens.
    /// @param settings checked settings
    /// @throws std::runtime_error if an address cannot be listened on
    explicit entry_host(const daemon_settings& settings);
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;
    ~entry_host();

    /// Asks for a planned stop; returns at once, from any thread.
    void start_drain();

    /// Waits until a planned stop was asked for, lets all requests in flight
    /// end, and stops.
    void run_until_drained();

    [[nodiscard]] std::uint16_t callers_port() const;
    [[nodiscard]] std::uint16_t operators_port() const;

    /// @return IP:PORT for other entry hosts
    [[nodiscard]] const std::string& peers_address() const;

private:
    void on_reclaimed();
    [[nodiscard]] std::size_t in_flight() const;
    void wait_for_requests(absl::Time end);

    daemon_settings m_settings;
    node_state m_node;
    http_client m_client;
    span_exporter m_spans;
    log_client m_log;
    engine_client m_engines;
    admission_service m_admission;
    request_service m_requests;
    service_calls m_services;
    control_thread m_control;
    peer_service m_peers;
    configuration_follower m_follower;
    order_client m_orders;
    cloud_client m_cloud;
    planner_service m_planner;
    claim_service m_claims;
    replication_service m_replication;
    platform_watcher m_watcher;
    freshness_gate m_gate;
    caller_api m_caller_api;
    operator_api m_operator_api;
    absl::Notification m_drain_asked;
    std::atomic<bool> m_is_drain_asked = false;
    std::atomic<bool> m_is_reclaimed = false;
    std::unique_ptr<http_server> m_caller_server;
    std::unique_ptr<http_server> m_operator_server;
};

} // namespace daleshelf
