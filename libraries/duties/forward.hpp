/// @file
/// Forward declarations of the duties package.
#pragma once

namespace daleshelf
{

class duty_ledger;
class usage_counter;

} // namespace daleshelf
