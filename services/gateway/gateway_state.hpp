/// @file
/// State shared by the components of the gateway, which run on one event loop.
#pragma once

#include "async_event.hpp"
#include "buffer_budget.hpp"
#include "crash_detector.hpp"
#include "gateway_metrics.hpp"
#include "gateway_settings.hpp"
#include "origin_service.hpp"
#include "quota_service.hpp"
#include "server_connection.hpp"
#include "skipped_records.hpp"
#include "slot_service.hpp"
#include "upstream_connector.hpp"
#include "upstream_limiter.hpp"

#include <absl/random/random.h>

#include <duties/usage_counter.hpp>
#include <engines/engine_table.hpp>
#include <engines/service_work.hpp>
#include <fair_shares/return_schedule.hpp>
#include <fair_shares/share_controller.hpp>
#include <fair_shares/slot_demand.hpp>
#include <headroom/output_length_model.hpp>
#include <ingress/completion_time.hpp>
#include <ingress/request_memory.hpp>
#include <ingress/retry_budget_share.hpp>
#include <ingress/route_table.hpp>
#include <ingress/server_choice.hpp>
#include <ingress/server_directory.hpp>
#include <memory>
#include <peers/time_estimate.hpp>
#include <poison/poison_detector.hpp>
#include <poison/suspects_in_flight.hpp>
#include <rollouts/rollout_participant.hpp>
#include <scaling/prompt_samples.hpp>
#include <string_view>
#include <telemetry/metrics.hpp>

namespace daleshelf
{

/// How this host learns of changes to the records in the store.
enum class list_role
{
    starting, ///< does not know its peers yet
    alone,    ///< polls the store for itself only
    reader,   ///< polls the store and forwards changes to its hall
    follower, ///< receives changes from the readers of its hall
};

/// @return the name of the role in the log
[[nodiscard]] std::string_view name_of(list_role role);

/// Load that this host has sent to one service.
struct service_load
{
    service_work work; ///< since the process started
    prompt_samples samples;
};

/// State that decisions on requests are based on.
struct gateway_state
{
    gateway_state(asio::io_context& loop, gateway_settings values);

    /// @return the monotonic time, in the type that the libraries use
    [[nodiscard]] static absl::Time now();

    /// @return a monotonic time, in the type that the libraries use
    [[nodiscard]] static absl::Time to_time(monotonic::time_point at);

    /// @return the time of day, as estimated jointly by all hosts
    [[nodiscard]] absl::Time time_of_day() const
    {
        return clock.at(now());
    }

    /// @return whether requests can be served
    [[nodiscard]] bool is_ready() const
    {
        return routes != nullptr && has_servers && !is_stopping;
    }

    /// @return whether slots, speed, memory and shares of the service's engines
    /// are modelled: only if their memory outlasts their slots
    [[nodiscard]] bool models_headroom(const ingress_service& service) const;

    asio::io_context& context;
    gateway_settings settings;
    host_id self;
    hall_id hall;
    incarnation own_incarnation;
    metric_registry metrics;
    gateway_metrics meter{metrics};
    time_estimate clock;
    /// Null until a configuration is known.
    std::shared_ptr<const route_table> routes;
    server_directory servers;
    rollout_participant rollouts;
    server_choice choice;
    origin_service origins;
    connection_pool pool;
    upstream_connector upstreams;
    quota_service quota;
    slot_service slots;
    retry_budget_share retries;
    usage_counter usage;
    absl::BitGen random;
    engine_table engines;
    std::map<service_name, service_load> loads; ///< of engine services
    output_length_model output_lengths;
    slot_demand demand;      ///< of requests that reach this host
    share_controller shares; ///< of workspaces, when slots are short
    std::map<service_name, return_schedule> returns;
    /// When a rejection for a workspace's share was last logged.
    absl::Time share_logged_at = absl::InfinitePast();
    std::int64_t unlogged_share_rejections = 0; ///< since then
    skipped_records skipped;
    poison_detector poison;
    suspects_in_flight suspects;
    async_event poison_updates; ///< `poison` has records to gossip
    async_event limit_updates;  ///< limits of upstreams have changed
    crash_detector crashes;
    upstream_limiter limits;
    bool has_servers = false;
    bool has_listed_hosts = false; ///< the list of hosts was read once
    bool knows_hosts = false; ///< the list of hosts was read, including those
                              ///< that started at the same time
    bool is_stopping = false;
    monotonic::time_point stopping_since{};
    /// While stopping: when each request is to have its final response.
    monotonic::time_point responses_due{};
    /// By the names of routes.
    absl::flat_hash_map<std::string, completion_time> completion_times;
    list_role role = list_role::starting;
    /// Changes in the store that follow each other within this time are read
    /// in one batch.
    milliseconds change_batch_delay{100};
    /// Time without reports of readers after which this host calls the store.
    milliseconds store_fallback_delay{1400};
    buffer_budget buffers;                         ///< of responses
    std::shared_ptr<request_memory> client_memory; ///< of all requests
    std::int64_t requests_in_flight = 0;
};

} // namespace daleshelf
