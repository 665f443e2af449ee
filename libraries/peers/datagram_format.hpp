/// @file
/// What a datagram between gateways holds.
#pragma once

#include <string_view>

namespace daleshelf
{

/// The formats that share one socket, by their number on the wire.
enum class datagram_format : unsigned char
{
    none = 0,           ///< none of these
    state = 1,          ///< `machine_state`
    quota = 2,          ///< `quota_message`
    counts = 3,         ///< `window_counts`
    rollout_word = 4,   ///< of the holder of the duties
    rollout_report = 5, ///< of a host
    records = 6,        ///< `shared_records`
    poison = 7,         ///< `poison_record`s
    limits = 8,         ///< `limit_record`s
};

/// Tells formats apart by their first field, so that a datagram is decoded
/// once.
/// @return its format; `none` for any other bytes
[[nodiscard]] inline datagram_format format_of(std::string_view bytes)
{
    // The tag of field 1, a number, and the number itself.
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
        return static_cast<datagram_format>(bytes[1]);
    case datagram_format::none:
        break;
    }
    return datagram_format::none;
}

} // namespace daleshelf
