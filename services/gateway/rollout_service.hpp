/// @file
/// Carrying out the operator's roll-outs.
#pragma once

#include "duty_service.hpp"
#include "gateway_state.hpp"
#include "http_call.hpp"
#include "peer_exchange.hpp"

#include <map>
#include <memory>
#include <optional>
#include <rollouts/rollout_controller.hpp>

namespace daleshelf
{

/// Tells all hosts, while this one holds the duties, what part of the requests
/// goes to the target of an order, takes their reports, and writes how the
/// order ends. Other hosts answer the holder's words, and read the end from the
/// store when they hear none. See docs/design/rollouts.md.
class rollout_service
{
public:
    rollout_service(gateway_state& state, peer_exchange& peers,
                    duty_service& duties);

    void start();

private:
    /// An order that this host carries out as the holder of the duties.
    struct led_order
    {
        rollout_controller plan;
        std::int64_t token = -1; ///< under which it was begun
        std::string reason;      ///< of the last step, as logged
    };

    awaitable<void> run();
    awaitable<void> tend(const service_name& service);
    awaitable<void> lead(const rollout_order& order, std::int64_t token);
    awaitable<bool> begin(const rollout_order& order, std::int64_t token);
    awaitable<void> follow(const rollout_order& order);
    awaitable<void> finish(const rollout_order& order, rollout_phase phase);
    awaitable<bool> read_statuses();
    awaitable<bool> write(const rollout_status& status);
    void take_status(const platform::keyed_record& record);
    [[nodiscard]] std::optional<rollout_status>
    status_of(const rollout_order& order) const;
    [[nodiscard]] std::string take(std::string_view bytes);
    [[nodiscard]] std::string take_word(std::string_view bytes);
    void take_report(std::string_view bytes);
    void tell(const rollout_order& order, rollout_phase phase, double share,
              std::int64_t token);
    void tell_ends(std::int64_t token);
    void log_step(led_order& led, const rollout_step& step);

    gateway_state& m_state;
    peer_exchange& m_peers;
    duty_service& m_duties;
    http_caller m_store;
    std::map<service_name, led_order> m_led;
    std::map<service_name, rollout_status> m_statuses; ///< as last read
    std::optional<log_offset> m_status_end; ///< of the topic; none: not read
    absl::Time m_started_at;
    absl::Time m_read_at = absl::InfinitePast();
    /// When orders were first seen here.
    std::map<log_offset, absl::Time> m_known_since;
    std::int64_t m_sequence = 0;
    /// Orders that ended lately here, and until when all are told so.
    std::map<service_name, absl::Time> m_told_until;
};

} // namespace daleshelf
