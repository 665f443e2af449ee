/// @file
/// What every host does for roll-outs.
#pragma once

#include "rollout_message.hpp"
#include "version_gate.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>

namespace daleshelf
{

/// The version that a request is to be tried with.
struct canary_target
{
    version_name version;
    double share = 0; ///< of all requests, that go to it now
};

/// Sends the share of requests to the target of an order that the holder of the
/// duties allows, as long as its word is heard, and counts what both versions
/// answer. A host that does not hear it sends the target nothing. Free of I/O.
/// See docs/design/rollouts.md.
class rollout_participant
{
public:
    /// @param gate what is known of orders; it outlives this
    rollout_participant(host_id self, incarnation started, version_gate& gate);

    /// Takes the holder's word; one that is older than what was heard is left.
    /// @return whether it was taken
    bool hear(const rollout_directive& word, absl::Time now);

    /// @return whether an order for the service is being carried out
    [[nodiscard]] bool is_watching(const service_name& service) const
    {
        return m_gate.phase_of(service) == rollout_phase::running;
    }

    /// A request for the service is to be sent.
    /// @return the version that it is to be tried with, if it is one of those
    /// that go to the target
    [[nodiscard]] std::optional<canary_target>
    pick_target(const service_name& service, absl::Time now);

    /// @return the share of the service's requests that go to the target now
    [[nodiscard]] double share_of(const service_name& service,
                                  absl::Time now) const;

    /// A request was sent to a server of the service.
    void record_sent(const service_name& service, const version_name& version);

    /// An answer has ended.
    void note_answer(const service_name& service, const version_name& version,
                     const std::string& route, const response_sample& seen);

    /// @return what this host has sent and seen for the service's order;
    /// nothing without one that runs
    [[nodiscard]] std::optional<rollout_report>
    report(const service_name& service);

    /// @return whether the target has answered since the last report
    [[nodiscard]] bool has_news(const service_name& service) const;

    /// @return when the holder's word for the service was last heard
    [[nodiscard]] absl::Time heard_at(const service_name& service) const;

private:
    /// What is known and counted for one order.
    struct watched_order
    {
        log_offset order;
        std::int64_t token = -1;
        std::int64_t sequence = -1;
        double share = 0;
        absl::Time heard_at = absl::InfinitePast();
        double credit = 0; ///< of requests, that may go to the target
        rollout_statistics seen;
        bool has_news = false;
    };

    [[nodiscard]] watched_order* running(const service_name& service);

    host_id m_self;
    incarnation m_started;
    version_gate& m_gate;
    std::map<service_name, watched_order> m_orders;
};

} // namespace daleshelf
