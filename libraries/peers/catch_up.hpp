/// @file
/// Where a starting host gets the list of upstreams from; free of I/O.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace daleshelf
{

/// What a starting host knows of its fleet.
struct catching_up_host
{
    bool knows_fleet = false;    ///< the list of hosts was read
    bool is_fleet_small = false; ///< all hosts read the store themselves
    /// Number of hosts of the hall that rank before this one as readers.
    std::size_t reader_position = 0;
};

/// Next step of a starting host.
enum class catch_up_step
{
    wait,            ///< ask again shortly
    fetch_from_peer, ///< from a random host of the hall
    list_from_store,
};

/// If a whole fleet starts, all hosts need the list at once, and the store
/// would send it once for each of them. The hosts that rank first as readers
/// list the store, the others fetch from hosts of the hall that have the list.
/// Each rank waits a little longer before it lists the store itself, so that
/// lost readers are replaced by a few hosts instead of all.
/// @param waited time since the start of the process
[[nodiscard]] catch_up_step next_catch_up_step(const catching_up_host& host,
                                               absl::Duration waited);

/// @param hosts number of hosts of the hall, at least one
/// @param sample random number, uniform in [0, 1)
/// @return position by rank of the host to fetch the list from. The first hosts
/// are preferred (log-uniformly), since they have the list first.
[[nodiscard]] std::size_t catch_up_source(std::size_t hosts, double sample);

/// Limits the lists that a host sends to the bandwidth of a small link, so that
/// each transfer completes in time; further hosts ask another peer.
class list_transfer_limit
{
public:
    /// @param bytes size of the response
    /// @return whether to send it now
    [[nodiscard]] bool accept(std::size_t bytes, absl::Time now);

private:
    absl::Time m_link_free_at = absl::InfinitePast();
};

} // namespace daleshelf
