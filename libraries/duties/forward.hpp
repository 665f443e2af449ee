/// @file
/// Forward declarations of the duties package.
#pragma once

namespace daleshelf
{

class count_collection;
class duty_ledger;
class usage_counter;

} // namespace daleshelf
