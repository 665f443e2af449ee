/// @file
/// Forward declarations of the leases package.
#pragma once

namespace daleshelf
{

class lease_keeper;
class lease_table;
struct lease_grant;
struct lease_proposal;

} // namespace daleshelf
