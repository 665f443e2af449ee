/// @file
/// Waits on conditions.
#pragma once

#include <functional>
#include <string>

namespace daleshelf::test
{

/// Checks a condition until it holds.
/// @param condition what must come true
/// @param what its name, for the failure
/// @throws std::runtime_error after a time far beyond any honest run
void wait_until(const std::function<bool()>& condition,
                const std::string& what);

} // namespace daleshelf::test
