/// @file
/// Forward declarations of the peers package.
#pragma once

namespace daleshelf
{

class peer_table;
class time_estimate;
struct machine_state;

} // namespace daleshelf
