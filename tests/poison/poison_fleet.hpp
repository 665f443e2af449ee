/// @file
/// A fleet that runs requests, some of which end servers, while servers end of
/// other causes, hosts start again and datagrams are lost. Everything is
/// stepped by a clock of the test.
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

/// One play's size and troubles.
struct fleet_plan
{
    waiting_policy waiting = waiting_policy::hold;
    int hosts = 8;
    int servers = 9;
    double requests_per_s = 60;
    int contents = 400; ///< that come again and again
    int deadly = 1;
    double deadly_per_s = 0.6;
    double lost = 0.03;           ///< part of the datagrams
    std::vector<double> storms;   ///< when a third of the servers end
    std::vector<double> restarts; ///< when a third of the hosts start anew
    double seconds = 30;
};

/// What a play has shown.
struct fleet_result
{
    std::map<std::string, std::vector<double>> ends; ///< by deadly content
    /// Tries of one that ended a server, begun long after its third end.
    int late_tries = 0;
    int innocent = 0;
    int refused_innocent = 0;
    int sent_after_proof = 0;
};

/// One play of a plan. Times of runs, places and losses come from the seed.
class fleet
{
public:
    fleet(const fleet_plan& plan, std::uint32_t seed)
        : m_plan(plan), m_seed(seed)
    {
    }

    [[nodiscard]] fleet_result play() const;

private:
    fleet_plan m_plan;
    std::uint32_t m_seed;
};

/// @return a small fleet with one or two deadly requests, drawn from the seed
[[nodiscard]] fleet_plan drawn_plan(std::uint32_t seed);

} // namespace daleshelf
