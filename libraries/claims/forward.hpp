/// @file
/// Forward declarations of the claims package.
#pragma once

namespace daleshelf
{

class claim_replica;
class claim_table;
struct claim;
struct claim_outcome;

} // namespace daleshelf
