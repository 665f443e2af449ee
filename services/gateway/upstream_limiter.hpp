/// @file
/// Rate limits that upstreams name in their responses.
#pragma once

#include "asio.hpp"
#include "send_permit.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <ingress/server_directory.hpp>
#include <optional>
#include <platform/forward.hpp>
#include <telemetry/name_batch.hpp>
#include <upstream_limits/limit_record.hpp>
#include <upstream_limits/retry_schedule.hpp>

namespace daleshelf
{

struct gateway_state;

/// Keeps the fleet within the limits that upstreams name: before a request is
/// sent to such an upstream, it takes its share of a rate limit from the shared
/// quota, and a slot if the upstream must not reject requests. See
/// docs/design/upstream-limits.md and docs/design/brittle-upstreams.md.
class upstream_limiter
{
public:
    explicit upstream_limiter(gateway_state& state) : m_state(state) {}

    /// Records what a response says about its upstream's limit.
    /// @param sent_at when the request was sent, monotonic
    void record_response(const server_entry& server,
                         const platform::server_notice& notice,
                         absl::Time sent_at);

    /// @return the limit of this incarnation of an upstream, in requests a
    /// second, if it has one
    [[nodiscard]] std::optional<double>
    limit_of(const upstream_incarnation& server) const;

    /// Takes one request out of an upstream's limits.
    /// @return nothing if a limit is used up; the upstream is then passed
    /// over for a while
    awaitable<std::optional<send_permit>> acquire(server_entry server);

    /// Refunds the permit of a request of which nothing was sent.
    void refund(send_permit permit);

    /// Reserves the time at which the client of a rejected request can retry:
    /// retries are spread over the rate that the service's limits allow.
    /// @return the time until the retry; nothing if no upstream of the service
    /// has a rate limit
    [[nodiscard]] std::optional<absl::Duration>
    reserve_retry(const service_name& service);

    /// Logs the upstreams passed over since the last call, and evicts the
    /// limits of upstreams that are gone. Called about twice a second.
    void run_maintenance();

private:
    static constexpr std::size_t max_named = 16;

    void log_unreadable(const server_entry& server);
    void record_rejection_limit(const server_entry& server,
                                const platform::server_notice& notice,
                                absl::Time sent_at);

    gateway_state& m_state;
    /// Incarnations whose unreadable limit was logged.
    absl::flat_hash_map<upstream_id, upstream_birth> m_unreadable;
    absl::flat_hash_map<service_name, retry_schedule> m_retries;
    /// Upstreams passed over since the last log line.
    name_batch m_passed_over{max_named};
    /// Upstreams without a free slot since the last log line.
    name_batch m_without_slot{max_named};
};

/// Logs the change of an upstream's limit, and makes the upstream eligible
/// again.
void apply_limit_change(gateway_state& state, const limit_update& update);

} // namespace daleshelf
