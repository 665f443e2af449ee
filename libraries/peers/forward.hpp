/// @file
/// Forward declarations of the peers package.
#pragma once

namespace daleshelf
{

enum class datagram_format : unsigned char;
class fetch_delay;
class peer_table;
class time_estimate;
struct host_state;
struct window_counts;

} // namespace daleshelf
