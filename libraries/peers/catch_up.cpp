#include "catch_up.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr std::size_t readers_per_hall = 2;
// The list of hosts takes the store a few milliseconds, or longer while a whole
// fleet starts.
constexpr absl::Duration max_fleet_wait = absl::Seconds(1);
// Within this time the readers have all records and sent them to a few hosts.
// The hosts that read the store after them double in number at this interval,
// less often than those that have the records.
constexpr absl::Duration first_wait = absl::Milliseconds(1500);
constexpr absl::Duration wait_per_doubling = absl::Milliseconds(600);
constexpr absl::Duration max_wait = absl::Seconds(5);
// Bandwidth of a small host's link.
constexpr double link_bytes_per_second = 2.5e6;
// Transfers that are queued for longer time out at the receiver.
constexpr absl::Duration max_queue_time = absl::Milliseconds(400);

} // namespace

catch_up_step next_catch_up_step(const catching_up_host& host,
                                 absl::Duration waited)
{
    if (!host.knows_fleet)
    {
        return waited < max_fleet_wait ? catch_up_step::wait
                                       : catch_up_step::read_from_store;
    }
    const bool is_reader = host.reader_position < readers_per_hall;
    const auto doublings =
        std::bit_width(host.reader_position / readers_per_hall) - 1;
    const auto longest_wait =
        std::min(max_wait, first_wait + wait_per_doubling * doublings);
    return host.is_fleet_small || is_reader || waited >= longest_wait
               ? catch_up_step::read_from_store
               : catch_up_step::fetch_from_peer;
}

std::size_t catch_up_source(std::size_t hosts, double sample)
{
    const auto position = std::pow(static_cast<double>(hosts) + 1, sample) - 1;
    return std::min(hosts - 1, static_cast<std::size_t>(position));
}

bool transfer_limit::accept(std::size_t bytes, absl::Time now)
{
    const auto start = std::max(now, m_link_free_at);
    if (start - now > max_queue_time)
    {
        return false;
    }
    m_link_free_at = start + absl::Seconds(static_cast<double>(bytes) /
                                           link_bytes_per_second);
    return true;
}

} // namespace daleshelf
