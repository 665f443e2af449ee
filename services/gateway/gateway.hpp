/// @file
/// The gateway daemon: accepts clients, forwards their requests to upstreams,
/// and connects to peers and the platform.
#pragma once

#include "client_listener.hpp"
#include "duty_service.hpp"
#include "gateway_state.hpp"
#include "headroom_service.hpp"
#include "limit_service.hpp"
#include "origin_log.hpp"
#include "peer_exchange.hpp"
#include "poison_service.hpp"
#include "rollout_service.hpp"
#include "scale_service.hpp"
#include "simple_http_server.hpp"
#include "topic_follower.hpp"

#include <base/suspension_watch.hpp>
#include <memory>
#include <settings/file_watch.hpp>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// All components of one gateway, on one event loop.
class gateway
{
public:
    /// @param context the event loop, which `run` runs
    /// @param settings the initial settings
    /// @param settings_path the file that is reloaded when it has changed
    gateway(asio::io_context& context, gateway_settings settings,
            std::string settings_path);

    /// Serves requests until a graceful shutdown is complete.
    void run();

private:
    // A log line of 64 names is 2 KB; only at startup do more change at once.
    static constexpr std::size_t logged_changes_limit = 64;

    void start();
    awaitable<void> watch_signals();
    awaitable<void> run_periodic_tasks();
    awaitable<void> stop();
    void expire_requests();
    void reload_settings();
    void apply_operator_record(const platform::keyed_record& record);
    void apply_operator_list(
        const std::map<std::string, platform::keyed_record>& records);
    void apply_configuration(const platform::keyed_record& record);
    void evict_completion_times();
    void apply_rollout(const service_name& service,
                       const platform::keyed_record& record);
    void apply_server_record(const platform::keyed_record& record);
    void apply_server(const server_entry& entry,
                      const platform::keyed_record& record);
    void apply_server_list(
        const std::map<std::string, platform::keyed_record>& records);
    void add_server_change(const platform::keyed_record& record,
                           std::string_view state);
    void log_suspension();
    void log_server_changes();
    [[nodiscard]] simple_response readiness_response() const;
    void set_gauges();
    [[nodiscard]] simple_response metrics_response();

    asio::io_context& m_context;
    std::string m_settings_path;
    file_watch m_settings_file;
    gateway_state m_state;
    topic_follower m_configuration;
    topic_follower m_servers;
    peer_exchange m_peers;
    duty_service m_duties;
    scale_service m_scaling;
    rollout_service m_rollouts;
    poison_service m_poison;
    limit_service m_limits;
    headroom_service m_headroom;
    origin_log m_origin_log;
    client_listener m_clients;
    simple_http_server m_readiness;
    std::unique_ptr<simple_http_server> m_metrics;
    asio::signal_set m_signals;
    /// Changes since the last log line.
    name_batch m_server_changes{logged_changes_limit};
    log_offset m_newest_change;
    suspension_watch m_suspensions;
    monotonic::duration m_suspended_time{0}; ///< since the process started
};

} // namespace daleshelf
