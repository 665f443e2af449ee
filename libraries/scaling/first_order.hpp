/// @file
/// What a new holder of the duties takes as ordered before it.
#pragma once

namespace daleshelf
{

/// No number is known to be ordered: whatever is wanted is ordered at once.
inline constexpr int nothing_ordered = -1;

/// A new holder knows neither what was ordered before it nor which halls have
/// no spot servers, so what it would take away at once may be missing a second
/// later, and servers take seconds to start. More goes out at once; fewer wait
/// as they do for any holder.
/// @param present servers that are there
/// @param wanted servers of its first plan
/// @return the number to take as ordered
[[nodiscard]] constexpr int taken_as_ordered(int present, int wanted)
{
    return wanted < present ? present : nothing_ordered;
}

} // namespace daleshelf
