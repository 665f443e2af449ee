/// @file
/// The part of a rollout that every host performs.
#pragma once

#include "rollout_message.hpp"
#include "version_gate.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>

namespace daleshelf
{

/// The version to which a request is sent as part of the canary share.
struct canary_target
{
    version_name version;
    double share = 0; ///< of all requests that go to it now, 0 to 1
};

/// Selects the requests that go to the target of an order, at the share that
/// the duty holder allows, and collects response statistics of both versions. A
/// directive expires after a short time; without a valid one the host sends no
/// requests to the target. Free of I/O. See docs/design/rollouts.md.
class rollout_participant
{
public:
    /// @param gate the known orders; must outlive this object
    rollout_participant(host_id self, incarnation started, version_gate& gate);

    /// Applies a directive of the duty holder. Outdated ones, and those for an
    /// order that is not known here, are ignored.
    /// @return whether it was applied
    bool apply(const rollout_directive& directive, absl::Time now);

    /// @return whether a rollout of the service is running
    [[nodiscard]] bool has_running_order(const service_name& service) const
    {
        return m_gate.phase_of(service) == rollout_phase::running;
    }

    /// Decides on the version of the next request for the service.
    /// @return the target, if the request is part of the canary share
    [[nodiscard]] std::optional<canary_target>
    pick_target(const service_name& service, absl::Time now);

    /// @return the share of the service's requests that go to the target now, 0
    /// to 1
    [[nodiscard]] double target_share(const service_name& service,
                                      absl::Time now) const;

    /// Counts a request that was sent to an upstream of the service.
    void record_sent(const service_name& service, const version_name& version);

    /// Counts a response that has ended.
    void record_response(const service_name& service,
                         const version_name& version, const std::string& route,
                         const response_sample& sample);

    /// @return the statistics of this host for the service's order; nothing if
    /// no order is running
    [[nodiscard]] std::optional<rollout_report>
    report(const service_name& service);

    /// @return whether the target has responded since the last report
    [[nodiscard]] bool
    has_unreported_responses(const service_name& service) const;

    /// @return when the last directive for the service was applied
    [[nodiscard]] absl::Time
    last_directive_at(const service_name& service) const;

private:
    /// The last directive and the statistics of one order.
    struct order_state
    {
        log_offset order;
        std::int64_t token = -1;
        std::int64_t sequence = -1;
        double share = 0;
        absl::Time last_directive_at = absl::InfinitePast();
        double credit = 0; ///< requests that may go to the target; a fraction
        rollout_statistics statistics;
        bool has_unreported_responses = false;
    };

    [[nodiscard]] order_state* running_state(const service_name& service);

    host_id m_self;
    incarnation m_started;
    version_gate& m_gate;
    std::map<service_name, order_state> m_orders;
};

} // namespace daleshelf
