/// @file
/// A model of a fleet that executes one rollout order. Time, datagrams, the
/// store, upstreams and faults are simulated; the decisions of the hosts and
/// the duty holder are those of the product code.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <rollouts/rollout_controller.hpp>
#include <rollouts/rollout_participant.hpp>
#include <vector>

namespace daleshelf
{

/// How the target responds.
struct target_behaviour
{
    double failure_rate = 0; ///< part of its responses
    double slow_rate = 0;    ///< part that takes four times as long
    double from_second = 0;  ///< time at which it turns bad
    bool on_one_route = false;
};

/// A fault; times in seconds from the order.
struct rollout_fault
{
    enum class kind
    {
        crash,        ///< hosts crash and restart after `seconds`
        partition,    ///< hosts reach neither one another nor the store
        pause,        ///< hosts are suspended; their datagrams are queued
        packet_loss,  ///< three datagrams in ten are lost
        crash_holder, ///< as crash, of the duty holder only
        store_outage, ///< the store is neither readable nor writable
    };
    kind what = kind::crash;
    double at = 0;
    double seconds = 0;
    double share = 0; ///< of the hosts
};

struct rollout_scenario
{
    int hosts = 70;
    double requests_per_second = 160;
    double duration = 14;
    target_behaviour target;
    std::vector<rollout_fault> faults;
    std::uint32_t seed = 1;
};

struct rollout_fleet_outcome
{
    double sent = 0;         ///< by all hosts, before the deadline
    double exposed = 0;      ///< to the target, by hosts without recent faults
    double exposed_late = 0; ///< over 5 s after the 50th bad response
    double bad_responses = 0;
    double bad_before_move = 0; ///< before all requests are moved
    std::optional<rollout_phase> final_phase;
    double ended_at = 0;
};

/// Simulates one scenario in steps of a quarter second.
class rollout_fleet
{
public:
    static constexpr exposure_bound bound{0.1, 50};

    explicit rollout_fleet(rollout_scenario scenario);
    [[nodiscard]] rollout_fleet_outcome run();

private:
    struct host
    {
        host_id name;
        std::unique_ptr<version_gate> gate;
        std::unique_ptr<rollout_participant> participant;
        std::vector<rollout_directive> queued; ///< directives not processed yet
        std::int64_t starts = 0;
        double down_until = -1;
        double partitioned_until = -1;
        double paused_until = -1;
        double last_fault_at = -100;
        double knows_order_at = 0;
    };

    void start(host& of);
    void inject(const rollout_fault& fault);
    void apply_fault(host& of, rollout_fault::kind what, double until);
    void choose_holder();
    void lead(host& holder);
    void broadcast(const rollout_directive& directive);
    void step_host(host& of);
    void request(host& of);
    void respond(host& of, const version_name& version);
    [[nodiscard]] bool is_up(const host& of) const;
    [[nodiscard]] bool is_reachable(const host& of) const;
    [[nodiscard]] bool is_recovered(const host& of) const;
    [[nodiscard]] absl::Time now() const;
    double random();

    rollout_scenario m_scenario;
    std::mt19937 m_random;
    double m_second = -2;
    std::vector<host> m_hosts;
    std::size_t m_holder = 0;
    double m_holder_seen_at = 0;
    std::int64_t m_token = 1;
    std::unique_ptr<rollout_controller> m_controller;
    std::int64_t m_sequence = 0;
    double m_lossy_until = -100;
    double m_store_outage_until = -1;
    double m_last_store_outage_at = -100;
    double m_bad_responses_limit_at = 1e9;
    bool m_is_moving = false;
    rollout_fleet_outcome m_outcome;
};

} // namespace daleshelf
