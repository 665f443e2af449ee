/// @file
/// Formats of the datagrams between gateways.
#pragma once

#include <string_view>

namespace daleshelf
{

/// The formats that share one socket. The values go on the wire.
enum class datagram_format : unsigned char
{
    none = 0,           ///< not a known format
    state = 1,          ///< `host_state`
    quota = 2,          ///< `quota_message`
    counts = 3,         ///< `window_counts`
    rollout_word = 4,   ///< from the holder of the duty lease
    rollout_report = 5, ///< from any host
    records = 6,        ///< `shared_records`
    poison = 7,         ///< `poison_record`s
    limits = 8,         ///< `limit_record`s
    origins = 9,        ///< `origin_message`
    loads = 10,         ///< loads of upstreams, by `load_exchange`
    slots = 11,         ///< `slot_message`
};

/// Reads the format from the first field, so that each datagram is parsed only
/// once.
/// @return the format, or `none` if the bytes do not start with a known one
[[nodiscard]] inline datagram_format format_of(std::string_view bytes)
{
    // The protobuf tag of field 1 (a varint), followed by its one-byte value.
    constexpr char number_tag = 0x08;
    if (bytes.size() < 2 || bytes[0] != number_tag)
    {
        return datagram_format::none;
    }
    switch (static_cast<datagram_format>(bytes[1]))
    {
    case datagram_format::state:
    case datagram_format::quota:
    case datagram_format::counts:
    case datagram_format::rollout_word:
    case datagram_format::rollout_report:
    case datagram_format::records:
    case datagram_format::poison:
    case datagram_format::limits:
    case datagram_format::origins:
    case datagram_format::loads:
    case datagram_format::slots:
        return static_cast<datagram_format>(bytes[1]);
    case datagram_format::none:
        break;
    }
    return datagram_format::none;
}

} // namespace daleshelf
