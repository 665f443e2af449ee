/// @file
/// A fleet that carries out one order, as a model: time, datagrams, the store,
/// servers and troubles are simulated; what hosts and holder decide is the
/// product's code.
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

/// How the target answers.
struct target_behaviour
{
    double failures = 0;    ///< part of its answers
    double slow = 0;        ///< part that takes four times as long
    double from_second = 0; ///< it is good before
    bool on_one_route = false;
};

/// Where and when something goes wrong; times in seconds from the order.
struct rollout_trouble
{
    enum class kind
    {
        kill,        ///< hosts end and start again after `seconds`
        cut,         ///< hosts hear nobody, and neither does the store
        freeze,      ///< hosts stand still; datagrams wait for them
        loss,        ///< three datagrams in ten are lost
        kill_holder, ///< as kill, of the holder of the duties alone
        store_down,  ///< nothing can be written or read
    };
    kind what = kind::kill;
    double at = 0;
    double seconds = 0;
    double share = 0; ///< of the hosts
};

struct rollout_fleet_plan
{
    int hosts = 70;
    double requests_a_second = 160;
    double duration = 14;
    target_behaviour target;
    std::vector<rollout_trouble> troubles;
    std::uint32_t seed = 1;
};

struct rollout_fleet_outcome
{
    double sent = 0;         ///< by all hosts, before the deadline
    double exposed = 0;      ///< of these, by hosts that had no trouble lately
    double exposed_late = 0; ///< over five seconds after the 50th bad answer
    double bad_answers = 0;
    double bad_before_move = 0; ///< before all requests are moved
    std::optional<rollout_phase> end;
    double ended_at = 0;
};

/// Plays one plan in steps of a quarter second.
class rollout_fleet
{
public:
    static constexpr exposure_bound bound{0.1, 50};

    explicit rollout_fleet(rollout_fleet_plan plan);
    [[nodiscard]] rollout_fleet_outcome play();

private:
    struct host
    {
        host_id name;
        std::unique_ptr<version_gate> gate;
        std::unique_ptr<rollout_participant> watch;
        std::vector<rollout_directive> waiting; ///< words that came meanwhile
        std::int64_t starts = 0;
        double down_until = -1;
        double cut_until = -1;
        double frozen_until = -1;
        double troubled_at = -100;
        double knows_order_at = 0;
    };

    void start(host& of);
    void begin(const rollout_trouble& trouble);
    void strike(host& of, rollout_trouble::kind what, double until);
    void choose_holder();
    void lead(host& holder);
    void tell(const rollout_directive& word);
    void step_host(host& of);
    void request(host& of);
    void answer(host& of, const version_name& version);
    [[nodiscard]] bool runs(const host& of) const;
    [[nodiscard]] bool is_heard(const host& of) const;
    [[nodiscard]] bool is_in_touch(const host& of) const;
    [[nodiscard]] absl::Time now() const;
    double random();

    rollout_fleet_plan m_plan;
    std::mt19937 m_random;
    double m_second = -2;
    std::vector<host> m_hosts;
    std::size_t m_holder = 0;
    double m_holder_from = 0;
    std::int64_t m_token = 1;
    std::unique_ptr<rollout_controller> m_leading;
    std::int64_t m_sequence = 0;
    double m_lossy_until = -100;
    double m_store_down_until = -1;
    double m_store_troubled_at = -100;
    double m_fifty_at = 1e9;
    bool m_is_moving = false;
    rollout_fleet_outcome m_outcome;
};

} // namespace daleshelf
