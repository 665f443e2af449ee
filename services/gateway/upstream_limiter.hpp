/// @file
/// The limits that upstreams name in their answers.
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
#include <upstream_limits/return_schedule.hpp>

namespace daleshelf
{

struct gateway_state;

/// Keeps the fleet within the limits that upstreams have named: a request to
/// such an upstream takes its part of the limit from the hosts that keep it,
/// before it is sent. See docs/design/upstream-limits.md.
class upstream_limiter
{
public:
    explicit upstream_limiter(gateway_state& state) : m_state(state) {}

    /// Notes what an answer says of its upstream's limit.
    /// @param sent_at when the request was sent, monotonic
    void record_answer(const server_entry& server,
                       const platform::server_notice& notice,
                       absl::Time sent_at);

    /// @return the limit of this incarnation of an upstream, in requests a
    /// second, if it has one
    [[nodiscard]] std::optional<double>
    limit_of(const upstream_life& server) const;

    /// Takes a request from an upstream's limit.
    /// @return nothing if there is none left; the upstream is then passed over
    /// for a while
    awaitable<std::optional<send_permit>> acquire(server_entry server);

    /// Gives back the permit of a request of which nothing was sent.
    void refund(send_permit permit);

    /// Reserves the time at which a rejected request may be tried again: those
    /// that come back are spread over what the service's limits allow.
    /// @return the time from now on
    [[nodiscard]] absl::Duration reserve_retry(const service_name& service);

    /// Logs what has happened since the last call, and forgets upstreams that
    /// are gone; to be called about twice a second.
    void run_maintenance();

private:
    static constexpr std::size_t max_named = 16;

    void log_unreadable(const server_entry& server);

    gateway_state& m_state;
    /// Upstreams whose limit could not be read, and which start of them.
    absl::flat_hash_map<upstream_id, upstream_birth> m_unreadable;
    absl::flat_hash_map<service_name, return_schedule> m_retries;
    /// Passed over since the last log line.
    name_batch m_passed_over{max_named};
};

/// Logs that an upstream has named another limit, and lets the changed limit
/// take effect in the choice of a server.
void apply_limit_change(gateway_state& state, const limit_update& update);

} // namespace daleshelf
