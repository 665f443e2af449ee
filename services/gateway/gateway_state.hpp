/// @file
/// What the gateway's parts share. All of them run on one event loop.
#pragma once

#include "async_event.hpp"
#include "crash_detector.hpp"
#include "gateway_metrics.hpp"
#include "gateway_settings.hpp"
#include "quota_service.hpp"
#include "server_connection.hpp"
#include "skipped_records.hpp"
#include "upstream_limiter.hpp"

#include <absl/random/random.h>

#include <duties/usage_counter.hpp>
#include <engines/engine_table.hpp>
#include <engines/service_work.hpp>
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

/// How this machine learns of changes in what the store holds.
enum class list_role
{
    starting, ///< it does not know the others yet
    alone,    ///< it asks the store; nobody waits for what it reads
    reader,   ///< it asks the store and tells the other machines of its hall
    follower, ///< it waits for what readers tell
};

/// @return its name in the log
[[nodiscard]] std::string_view name_of(list_role role);

/// What this host has sent to one service.
struct service_load
{
    service_work work; ///< since this start
    prompt_samples samples;
};

/// The state that requests are decided by.
struct gateway_state
{
    gateway_state(asio::io_context& loop, gateway_settings values);

    /// @return the monotonic clock, as the libraries take it
    [[nodiscard]] static absl::Time now();

    /// @return a time of the monotonic clock, as the libraries take it
    [[nodiscard]] static absl::Time to_time(monotonic::time_point at);

    /// @return the time of day, as all machines together believe it
    [[nodiscard]] absl::Time time_of_day() const
    {
        return clock.at(now());
    }

    /// @return whether requests can be served
    [[nodiscard]] bool is_ready() const
    {
        return routes != nullptr && has_servers && !is_stopping;
    }

    asio::io_context& context;
    gateway_settings settings;
    host_id self;
    hall_id hall;
    incarnation started;
    metric_registry metrics;
    gateway_metrics meter{metrics};
    time_estimate clock;
    std::shared_ptr<const route_table> routes; ///< null until one is known
    server_directory servers;
    rollout_participant rollouts;
    server_choice choice;
    connection_pool pool;
    quota_service quota;
    retry_budget_share retries;
    usage_counter usage;
    absl::BitGen random;
    engine_table engines;
    std::map<service_name, service_load> loads; ///< of engines
    skipped_records skipped;
    poison_detector poison;
    suspects_in_flight suspects;
    async_event poison_news;   ///< there is something to tell of `poison`
    async_event limit_updates; ///< limits of upstreams have changed
    crash_detector crashes;
    upstream_limiter limits;
    bool has_servers = false;
    bool knows_hosts = false; ///< the list of hosts was read, with those that
                              ///< started together with this one
    bool is_stopping = false;
    monotonic::time_point stopping_since{};
    list_role role = list_role::starting;
    /// Changes that come within this time of one another are read together.
    milliseconds change_pause{100};
    std::int64_t requests_in_flight = 0;
};

} // namespace daleshelf
