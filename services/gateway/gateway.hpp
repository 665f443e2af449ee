/// @file
/// The gateway: clients in front, servers behind, the platform beside.
#pragma once

#include "client_session.hpp"
#include "duty_service.hpp"
#include "gateway_state.hpp"
#include "limit_service.hpp"
#include "peer_exchange.hpp"
#include "poison_service.hpp"
#include "rollout_service.hpp"
#include "scale_service.hpp"
#include "simple_http_server.hpp"
#include "topic_follower.hpp"

#include <base/suspension_watch.hpp>
#include <memory>
#include <set>
#include <settings/file_watch.hpp>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// All parts of one gateway, on one event loop.
class gateway
{
public:
    /// @param settings_path read again when the file has changed
    gateway(asio::io_context& context, gateway_settings settings,
            std::string settings_path);

    /// Serves until a planned stop has ended.
    void run();

private:
    // A line of 64 is 2 KB; more change at once at the start alone.
    static constexpr std::size_t most_changes_named = 64;

    void start();
    awaitable<void> accept_clients();
    awaitable<void> serve_client(std::shared_ptr<client_session> session);
    awaitable<void> watch_signals();
    awaitable<void> keep_house();
    awaitable<void> stop();
    void reload_settings();
    void take_operator_record(const platform::keyed_record& record);
    void take_operator_list(
        const std::map<std::string, platform::keyed_record>& records);
    void take_configuration(const platform::keyed_record& record);
    void take_rollout(const service_name& service,
                      const platform::keyed_record& record);
    void take_server_record(const platform::keyed_record& record);
    void take_server(const server_entry& entry,
                     const platform::keyed_record& record);
    void take_server_list(
        const std::map<std::string, platform::keyed_record>& records);
    void note_change(const platform::keyed_record& record,
                     std::string_view state);
    void note_suspension();
    void log_server_changes();
    [[nodiscard]] simple_response answer_readiness() const;
    void set_gauges();
    [[nodiscard]] simple_response answer_metrics();

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
    asio::ip::tcp::acceptor m_clients;
    simple_http_server m_readiness;
    std::unique_ptr<simple_http_server> m_metrics;
    asio::signal_set m_signals;
    std::set<std::shared_ptr<client_session>> m_sessions;
    /// Since the last log line of them.
    name_batch m_server_changes{most_changes_named};
    log_offset m_newest_change;
    suspension_watch m_suspensions;
    monotonic::duration m_suspended{0}; ///< since the start
};

} // namespace daleshelf
