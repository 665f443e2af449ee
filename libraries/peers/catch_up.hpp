/// @file
/// Where a host gets records from that it lacks; free of I/O.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace daleshelf
{

/// What a host that lacks records knows of its fleet.
struct catching_up_host
{
    bool knows_fleet = false;    ///< the list of hosts was read
    bool is_fleet_small = false; ///< all hosts read the store themselves
    /// Number of hosts of the hall that rank before this one as readers.
    std::size_t reader_position = 0;
};

/// Next step of a host that lacks records.
enum class catch_up_step
{
    wait,            ///< for the list of hosts
    fetch_from_peer, ///< from a host of the hall
    read_from_store,
};

/// If a whole fleet starts, all hosts lack all records at once, and the store
/// would send them once for each host. The hosts that rank first as readers
/// read the store, the others fetch from hosts of the hall that have the
/// records. Each host waits longer the lower it ranks before it reads the store
/// itself, so that lost readers are replaced by a few hosts instead of all.
/// @param waited time since the host began to catch up
[[nodiscard]] catch_up_step next_catch_up_step(const catching_up_host& host,
                                               absl::Duration waited);

/// @param hosts number of hosts of the hall, at least one
/// @param sample random number, uniform in [0, 1)
/// @return position by rank of the host to fetch from. The first hosts are
/// preferred (log-uniformly), since they have the records first.
[[nodiscard]] std::size_t catch_up_source(std::size_t hosts, double sample);

/// Limits what a host sends to peers that catch up to the bandwidth of a small
/// link, so that each transfer completes in time; further peers ask another
/// host.
class transfer_limit
{
public:
    /// @param bytes size of the response
    /// @return whether to send it now
    [[nodiscard]] bool accept(std::size_t bytes, absl::Time now);

private:
    absl::Time m_link_free_at = absl::InfinitePast();
};

} // namespace daleshelf
