/// @file
/// Datagrams that carry loads of upstreams.
#pragma once

#include "shared_loads.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// What the loads of a message are summed up over.
enum class load_scope : std::uint8_t
{
    host = 1, ///< the sender
    hall = 2, ///< the hosts of the sender's hall
    fleet = 3 ///< the hosts of all halls
};

/// A report or a sum.
struct load_message
{
    load_scope scope = load_scope::host;
    host_id host; ///< that has made the report or the sum
    hall_id hall;
    incarnation started;       ///< of that host
    std::int64_t sequence = 0; ///< increases with each message of that host
    shared_loads report;
    /// Sequence numbers of the hosts' reports that a sum contains.
    std::map<host_id, std::int64_t> included;
};

/// Bytes of the longest message: a datagram that the sockets of hosts accept.
inline constexpr std::size_t max_load_message_size = 60000;

/// @param max_size bytes that the loads are shortened to
/// @return the bytes of a datagram, with the largest entries if there are more
/// than fit
[[nodiscard]] std::string encode(const load_message& message,
                                 std::size_t max_size = max_load_message_size);

/// @return the message, or nothing if the bytes are not a valid datagram
[[nodiscard]] std::optional<load_message>
decode_load_message(std::string_view bytes);

} // namespace daleshelf
