/// @file
/// Forward declarations of the membership package.
#pragma once

namespace daleshelf
{

class membership;
class update_queue;
enum class member_state;
struct gossip_message;
struct member;
struct membership_options;
struct outgoing_gossip;

} // namespace daleshelf
