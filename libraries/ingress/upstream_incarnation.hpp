/// @file
/// Identifies one incarnation of an upstream. An upstream may restart under the
/// same id; it then has lost its state, and its counters restart.
#pragma once

#include <base/identifiers.hpp>

namespace daleshelf
{

/// One incarnation of an upstream: from a start to its exit or crash.
struct upstream_incarnation
{
    upstream_id id;
    upstream_birth started_at; ///< Unix ms; 0: unknown

    /// @param other an incarnation of the same upstream
    /// @return whether the other one started earlier; false if either start
    /// time is unknown
    [[nodiscard]] bool is_newer_than(const upstream_incarnation& other) const
    {
        return has_start_time() && other.has_start_time() &&
               started_at > other.started_at;
    }

private:
    [[nodiscard]] bool has_start_time() const
    {
        return started_at > upstream_birth();
    }
};

} // namespace daleshelf
