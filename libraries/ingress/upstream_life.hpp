/// @file
/// One start of a server. A server may start again under the id that it had;
/// it then holds and knows nothing of before, and its counts start anew.
#pragma once

#include <base/identifiers.hpp>

namespace daleshelf
{

/// One life of a server: from one start to its end.
struct upstream_life
{
    upstream_id id;
    upstream_birth born; ///< 0: unknown

    /// @return whether the other is an earlier life of the same server, as far
    /// as both have said when they started
    [[nodiscard]] bool is_after(const upstream_life& other) const
    {
        return is_told() && other.is_told() && born > other.born;
    }

private:
    [[nodiscard]] bool is_told() const
    {
        return born > upstream_birth();
    }
};

} // namespace daleshelf
