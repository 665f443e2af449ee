/// @file
/// Discrete-event simulation of a fleet of hosts and one upstream that
/// advertises a limit. Time, datagrams, callers and faults are simulated; the
/// decisions of the hosts are those of the product's code.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace daleshelf
{

/// The limit that the upstream advertises from a moment on.
struct limit_step
{
    double at = 0; ///< in seconds from the start
    /// Requests per second; nothing: no limit.
    std::optional<double> per_second;
};

/// A fault to inject; times in seconds from the start.
struct limit_scenario_fault
{
    enum class kind
    {
        kill,     ///< hosts are killed and restart after `seconds`
        freeze,   ///< hosts are paused; datagrams queue until they resume
        hall_cut, ///< one hall is partitioned from the others and the upstream
        split,    ///< as above, but its hosts reach the upstream
        loss,     ///< a fifth of all datagrams is lost
    };
    kind type = kind::kill;
    double at = 0;
    double seconds = 0;
    double share = 0; ///< fraction of the hosts that are affected
};

/// The component that decides whether a request may be sent.
enum class limit_strategy
{
    keepers, ///< the product's: keepers of the halls, by deposited time credit
    shares,  ///< each host alone, with its share of the limit
    owner,   ///< one host of the fleet: the first reachable one by hash
    unlimited, ///< none; the check must detect this
};

/// The parameters of a simulation.
struct limit_scenario
{
    limit_strategy strategy = limit_strategy::keepers;
    int hosts = 8;
    int halls = 3;
    double demand = 10;  ///< requests per second that would be sent
    double seconds = 20; ///< duration of the demand
    std::vector<limit_step> steps{{2, 1.0}};
    std::vector<limit_scenario_fault> faults;
};

/// The result of a simulation.
struct limit_result
{
    /// Maximum number of requests in a window of the platform's rule beyond
    /// what the rule allows; negative if the rule's bound was never reached.
    double max_excess = 0;
    /// Maximum number of requests in a window, as a fraction of what the rule
    /// allows in it.
    double max_window_use = 0;
    /// Requests as a fraction of the limit, from four seconds after each change
    /// of the limit.
    double used_fraction = 0;
    double arrived = 0;
    /// Bytes of gossiped limits per second and host.
    double gossip_bytes_per_second = 0;
    /// Exchanges with keepers per request that arrived.
    double exchanges_per_arrival = 0;
    /// Seconds from the first response with a limit until all hosts knew it.
    double convergence_seconds = 0;
};

/// Simulates one scenario. All randomness comes from the seed.
[[nodiscard]] limit_result simulate_limits(const limit_scenario& scenario,
                                           std::uint32_t seed);

/// @return a scenario of random size, limit and demand, without faults
[[nodiscard]] limit_scenario random_limit_scenario(std::uint32_t seed);

} // namespace daleshelf
