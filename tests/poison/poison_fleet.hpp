/// @file
/// A simulated fleet that serves requests, some of which crash servers, while
/// servers crash for other reasons, hosts restart and datagrams are lost. The
/// simulation advances its own clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daleshelf
{

/// What a host does with a request that has to wait for outstanding evidence.
enum class waiting_policy
{
    reject, ///< rejects it at once
    hold,   ///< judges it again after a pause, as the gateway does
};

/// Size and faults of one simulation.
struct fleet_plan
{
    waiting_policy waiting = waiting_policy::hold;
    int hosts = 8;
    int servers = 9;
    double requests_per_s = 60;
    int contents = 400; ///< of innocent requests, which recur
    int deadly = 1;
    double deadly_per_s = 0.6;
    double loss_rate = 0.03; ///< share of the datagrams that are lost
    /// Times in seconds; each crashes a third of the servers.
    std::vector<double> mass_crashes;
    /// Times in seconds; each restarts a third of the hosts.
    std::vector<double> restarts;
    double seconds = 30;
};

/// Result of one simulation.
struct fleet_result
{
    /// Times of crashes in seconds, by deadly content.
    std::map<std::string, std::vector<double>> crashes;
    /// Attempts of deadly requests that crashed a server and began after gossip
    /// of the third crash had reached all hosts.
    int late_attempts = 0;
    int innocent = 0;
    int rejected_innocent = 0;
    int sent_after_confirmation = 0;
};

/// One simulation of a plan. Arrivals, choices of servers and losses are drawn
/// from the seed.
class fleet
{
public:
    fleet(const fleet_plan& plan, std::uint32_t seed)
        : m_plan(plan), m_seed(seed)
    {
    }

    [[nodiscard]] fleet_result simulate() const;

private:
    fleet_plan m_plan;
    std::uint32_t m_seed;
};

/// @return a small fleet with one or two deadly requests, drawn from the seed
[[nodiscard]] fleet_plan drawn_plan(std::uint32_t seed);

} // namespace daleshelf
