/// @file
/// A fleet of hosts before one upstream that names a limit, as a model: time,
/// datagrams, callers and troubles are simulated; what the hosts decide is the
/// product's code.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace daleshelf
{

/// The upstream's limit from a moment on.
struct limit_step
{
    double at = 0;                    ///< in seconds
    std::optional<double> per_second; ///< nothing: it names none
};

/// Something that goes wrong; times in seconds from the start.
struct limit_trouble
{
    enum class kind
    {
        kill,     ///< hosts end, and start again after `seconds`
        freeze,   ///< hosts stand still; datagrams wait for them
        hall_cut, ///< one hall is cut off from the others
        split,    ///< as above, but its hosts reach the upstream
        loss,     ///< a fifth of all datagrams is lost
    };
    kind what = kind::kill;
    double at = 0;
    double seconds = 0;
    double share = 0; ///< of the hosts
};

/// Who decides whether a request may go to the upstream.
enum class limit_way
{
    keepers,   ///< the product's: keepers of the halls, by the fleet's time
    shares,    ///< each host by itself, with its share of the limit
    owner,     ///< one host of the fleet, the first by hash in reach
    unlimited, ///< nobody: the fault that the check must see
};

/// What is played.
struct limit_plan
{
    limit_way way = limit_way::keepers;
    int hosts = 8;
    int halls = 3;
    double demand = 10;  ///< requests a second that would go to the upstream
    double seconds = 20; ///< of demand
    std::vector<limit_step> steps{{2, 1.0}};
    std::vector<limit_trouble> troubles;
};

/// What a play has shown.
struct limit_outcome
{
    /// Most requests within the rule's window beyond what it allows; negative
    /// if it never was reached.
    double most_over = 0;
    /// Requests in the fullest window against what the rule allows in it.
    double fullest = 0;
    /// Requests against the limit, from four seconds after a step on.
    double used = 0;
    double arrived = 0;
    /// Bytes of limits that the hosts have gossiped, a second and host.
    double gossip_bytes = 0;
    /// Exchanges with keepers for each request that has arrived.
    double asks = 0;
    /// Seconds from the first answer until the last host knew of the limit.
    double learned_by_all = 0;
};

/// Plays one plan. Everything that is random comes from the seed.
[[nodiscard]] limit_outcome play_limits(const limit_plan& plan,
                                        std::uint32_t seed);

/// @return a plan of a drawn size, limit and demand, without troubles
[[nodiscard]] limit_plan drawn_limit_plan(std::uint32_t seed);

} // namespace daleshelf
