/// @file
/// Discrete-event simulation of a fleet of hosts and a service whose upstreams
/// crash when they reject many requests. Time, datagrams, callers and faults
/// are simulated; the decisions of the hosts are those of the product's code.
#pragma once

#include <cstdint>
#include <vector>

namespace daleshelf
{

/// A fault to inject; times in seconds from the first request.
struct brittle_fault
{
    enum class kind
    {
        kill,     ///< hosts are killed and restart after `seconds`
        hall_cut, ///< one hall is partitioned from all others
        crash,    ///< upstreams crash and come back as new incarnations
        loss,     ///< a fifth of all datagrams is lost
    };
    kind type = kind::kill;
    double at = 0;
    double seconds = 0;
    double share = 0; ///< fraction of the hosts or upstreams that are affected
};

/// What keeps an upstream from rejecting requests.
enum class brittle_strategy
{
    none,     ///< nothing; the check must detect this
    reactive, ///< loads that peers report, and a pause after own rejections
    subsets,  ///< as many hosts as an upstream has slots, one request each
    keepers,  ///< the product's: slots granted by keepers
};

/// The parameters of a simulation.
struct brittle_scenario
{
    brittle_strategy strategy = brittle_strategy::keepers;
    int hosts = 72;
    int halls = 4;
    int servers = 5;
    int slots = 6;
    int queue = 24;        ///< requests that wait at an upstream that is sound
    double work = 0.06;    ///< seconds, on average
    int rejections = 1;    ///< tolerated in a second while brittle
    double demand = 171;   ///< requests a second
    double burst = 1;      ///< factor of the demand between 10 and 20 s
    double brittle_at = 2; ///< seconds after the first request
    double seconds = 30;   ///< duration of the demand
    std::vector<brittle_fault> faults;
};

/// The result of a simulation.
struct brittle_result
{
    int crashes = 0; ///< caused by rejections
    /// Crashes that the platform's rule counts: most of the rejections were of
    /// requests from hosts that had run without a partition for four seconds.
    int counted_crashes = 0;
    /// Crashes of upstreams in the first two seconds of their incarnation.
    int early_crashes = 0;
    int rejections = 0;      ///< by upstreams, once the limit is enforced
    int most_rejections = 0; ///< of those, by one upstream in a second
    int sent = 0;            ///< requests of callers
    int served = 0;
    /// Fraction of the slots in use while requests are rejected by hosts, from
    /// five seconds after the upstreams became brittle.
    double used_fraction = 0;
    double messages_per_request = 0; ///< between hosts, about slots
};

/// Simulates one scenario. All randomness comes from the seed.
[[nodiscard]] brittle_result simulate_brittle(const brittle_scenario& scenario,
                                              std::uint32_t seed);

/// @return the crashes that the platform's rule tolerates
[[nodiscard]] int tolerated_crashes(const brittle_scenario& scenario);

} // namespace daleshelf
