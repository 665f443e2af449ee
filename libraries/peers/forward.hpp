/// @file
/// Forward declarations of the peers package.
#pragma once

namespace daleshelf
{

enum class datagram_format : unsigned char;
class news_patience;
class peer_table;
class time_estimate;
struct machine_state;
struct window_counts;

} // namespace daleshelf
