/// @file
/// Forward declarations of the quotas package.
#pragma once

namespace daleshelf
{

class fleet_membership;
class quota_claim;
class credit_accumulator;
class quota_buckets;
class shared_quota;
struct quota_message;
struct quota_options;
struct quota_subject;

} // namespace daleshelf
