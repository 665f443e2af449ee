/// @file
/// Discrete-event simulation of a fleet of hosts that share quotas. Time,
/// datagrams, clients and faults are simulated; the decisions of the hosts are
/// those of the product's code.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <ingress/ingress_configuration.hpp>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace daleshelf
{

class quota_host;

/// A fault to inject; times in seconds from the start.
struct fleet_fault
{
    enum class kind
    {
        kill,     ///< processes are killed and restart after `seconds`
        cut,      ///< hosts are partitioned from all others
        hall_cut, ///< a hall is partitioned from the others
        freeze,   ///< hosts are paused; datagrams queue until they resume
        loss,     ///< a tenth of all datagrams is lost
        delay,    ///< datagrams are delayed by up to 0.5 s
        join,     ///< the spare hosts start
        restart,  ///< rolling restart: one host every `seconds`
    };
    kind type = kind::kill;
    double at = 0;
    double seconds = 0;
    double share = 0; ///< fraction of the hosts that are affected
    int hall = 0;
};

/// The parameters of a simulation.
struct fleet_scenario
{
    int halls = 3;
    int hosts_a_hall = 2;
    int spares_a_hall = 0;
    double rate = 200'000;    ///< limit of the workspace in tokens per second
    double normal_load = 0.5; ///< demand as a multiple of the rate
    double peak_load = 0.5;   ///< demand from `peak_from` until `peak_until`
    double peak_from = 0;
    double peak_until = 0;
    double seconds = 24;
    std::vector<fleet_fault> faults;
    std::uint32_t seed = 1;
};

/// The result of a simulation, in tokens.
struct fleet_result
{
    double requested = 0;
    double granted = 0;
    double max_in_window = 0; ///< maximum granted within any window
    double max_at = 0;        ///< end of that window, in seconds
    /// Requested and granted at normal load, before the first fault.
    double normal_requested = 0;
    double normal_granted = 0;
    /// Time until granted requests got their grant, in seconds.
    double longest_wait = 0;
    double mean_wait = 0;
};

/// Simulates one scenario.
class fleet_model
{
public:
    static constexpr absl::Duration window = absl::Seconds(8);
    static constexpr double overshoot = 0.1;
    static constexpr double slack = 72'000;

    explicit fleet_model(fleet_scenario scenario);
    ~fleet_model();
    fleet_model(const fleet_model&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;

    [[nodiscard]] fleet_result simulate();

    /// @return the maximum that may be granted within any window, by the users'
    /// bound
    [[nodiscard]] static double bound_for(double rate);

    // Interface for the simulated hosts.

    [[nodiscard]] absl::Time now() const
    {
        return m_now;
    }

    /// Calls `run` after a time, unless the host has stopped or restarted
    /// since. While the host is paused, the call waits.
    void after(const host_id& host, absl::Duration time,
               std::function<void()> run);

    /// Sends a datagram; it may be lost or delayed.
    void send(const host_id& from, const host_id& to, std::string bytes);

    /// @return the hosts in the store's list: those that have published
    /// themselves
    [[nodiscard]] std::vector<std::pair<host_id, hall_id>> listed() const;

    /// Adds a host to the store's list.
    void publish(const host_id& host);

    [[nodiscard]] std::vector<ingress_tenant> workspaces() const;

    [[nodiscard]] double random(double from, double to);

private:
    struct host_slot
    {
        host_id name;
        hall_id hall;
        int hall_number = 0;
        bool is_spare = false;
        std::unique_ptr<quota_host> host;
        int generation = 0;
        bool is_listed = false;
        absl::Time cut_until = absl::InfinitePast();
        absl::Time frozen_until = absl::InfinitePast();
        /// Since when the process is shutting down.
        absl::Time stopping_at = absl::InfiniteFuture();
    };

    struct event
    {
        absl::Time at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(absl::Time at, std::function<void()> run);
    void run_later(std::size_t index, int generation, absl::Time time,
                   std::function<void()> run);
    void start_host(std::size_t index, bool is_first);
    void start_spares();
    void rolling_restart(const fleet_fault& fault);
    void stop_host(std::size_t index);
    void inject_fault(const fleet_fault& fault);
    void inject_host_fault(const fleet_fault& fault, host_slot& slot,
                           std::size_t index);
    void deliver(std::size_t to, int generation, std::string bytes);
    void next_request();
    void send_request(double cost);
    [[nodiscard]] std::vector<quota_host*> serving_hosts() const;
    void record_grant(double cost);
    void record_wait(absl::Duration wait);
    [[nodiscard]] bool is_connected(const host_slot& from,
                                    const host_slot& to) const;
    [[nodiscard]] std::size_t index_of(const host_id& name) const;
    [[nodiscard]] double demand() const;
    [[nodiscard]] bool has_normal_load() const;

    fleet_scenario m_scenario;
    std::mt19937 m_random;
    absl::Time m_start;
    absl::Time m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<host_slot> m_slots;
    std::map<host_id, std::size_t> m_index;
    absl::Time m_hall_cut_until = absl::InfinitePast();
    int m_cut_hall = -1;
    absl::Time m_lossy_until = absl::InfinitePast();
    absl::Time m_slow_until = absl::InfinitePast();
    std::deque<std::pair<absl::Time, double>> m_grants;
    double m_granted_in_window = 0;
    std::int64_t m_grant_count = 0;
    fleet_result m_result;
};

} // namespace daleshelf
