/// @file
/// Recent attempts that ended without a response.
#pragma once

#include "poison_record.hpp"

#include <deque>
#include <vector>

namespace daleshelf
{

/// An attempt that ended without a response: its connection broke, its caller
/// cancelled it, or its deadline passed.
struct unanswered_attempt
{
    suspect_request request;
    absl::Time began;
    absl::Time ended;
};

/// Keeps such attempts for a limited time: their upstream may still run them,
/// so that they are suspects if it crashes meanwhile.
class unanswered_attempts
{
public:
    /// @param limit number of attempts to keep; the oldest are evicted
    /// @param retention time to keep each
    unanswered_attempts(std::size_t limit, absl::Duration retention)
        : m_limit(limit), m_retention(retention)
    {
    }

    void add(const server_incarnation& incarnation, unanswered_attempt attempt);

    /// @return whether some ran on that incarnation of an upstream
    [[nodiscard]] bool has(const server_incarnation& incarnation,
                           absl::Time now);

    /// Removes the attempts of an incarnation that has crashed.
    /// @return these attempts
    std::vector<unanswered_attempt> take(const server_incarnation& incarnation,
                                         absl::Time now);

private:
    struct entry
    {
        server_incarnation incarnation;
        unanswered_attempt attempt;
    };

    void expire_old(absl::Time now);

    std::size_t m_limit;
    absl::Duration m_retention;
    std::deque<entry> m_entries; ///< in order of their end
};

} // namespace daleshelf
