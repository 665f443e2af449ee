/// @file
/// Execution of the roll-outs that operators order.
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

/// While this host holds the duties, announces to all hosts the fraction of
/// requests that goes to the target version of an order, collects their
/// reports, and writes the outcome of the order. Other hosts respond to the
/// holder's announcements, and read the outcome from the store if they receive
/// none. See docs/design/rollouts.md.
class rollout_service
{
public:
    rollout_service(gateway_state& state, peer_exchange& peers,
                    duty_service& duties);

    void start();

private:
    /// An order that this host executes as the holder of the duties.
    struct led_order
    {
        rollout_controller plan;
        std::int64_t token = -1; ///< fencing token at the start of the order
        std::string reason;      ///< reason of the last logged step
    };

    awaitable<void> run();
    awaitable<void> advance(const service_name& service);
    awaitable<void> lead(const rollout_order& order, std::int64_t token);
    awaitable<bool> start_order(const rollout_order& order, std::int64_t token);
    awaitable<void> follow(const rollout_order& order);
    awaitable<void> finish_order(const rollout_order& order,
                                 rollout_phase phase);
    awaitable<bool> read_statuses();
    awaitable<bool> write(const rollout_status& status);
    void apply_status(const platform::keyed_record& record);
    [[nodiscard]] std::optional<rollout_status>
    status_of(const rollout_order& order) const;
    [[nodiscard]] std::string receive(std::string_view bytes);
    [[nodiscard]] std::string receive_announcement(std::string_view bytes);
    void receive_report(std::string_view bytes);
    void announce(const rollout_order& order, rollout_phase phase, double share,
                  std::int64_t token);
    void announce_finished(std::int64_t token);
    void log_step(led_order& led, const rollout_step& step);

    gateway_state& m_state;
    peer_exchange& m_peers;
    duty_service& m_duties;
    http_caller m_store;
    std::map<service_name, led_order> m_led_orders;
    std::map<service_name, rollout_status> m_statuses; ///< as last read
    /// End of the status topic; none: not read.
    std::optional<log_offset> m_status_topic_end;
    absl::Time m_started_at;
    absl::Time m_statuses_read_at = absl::InfinitePast();
    /// When this host first saw each order.
    std::map<log_offset, absl::Time> m_first_seen_at;
    std::int64_t m_sequence = 0;
    /// Until when the outcome of finished orders is announced.
    std::map<service_name, absl::Time> m_announced_until;
};

} // namespace daleshelf
