/// @file
/// Names of this package.
#pragma once

namespace daleshelf
{

class fleet_roster;
class quota_claim;
class share_meter;
class quota_pool;
class shared_quota;
struct quota_message;
struct quota_options;
struct quota_subject;

} // namespace daleshelf
