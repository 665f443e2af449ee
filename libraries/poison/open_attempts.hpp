/// @file
/// Recent attempts that ended without a response.
#pragma once

#include "poison_record.hpp"

#include <deque>
#include <vector>

namespace daleshelf
{

/// An attempt that ended without the server's answer: it broke, its caller
/// left, or its time was over.
struct open_attempt
{
    suspect_request request;
    absl::Time began;
    absl::Time ended;
};

/// Remembers such attempts for a while: if their server ends meanwhile, they
/// are suspects, though nobody has waited for them.
class open_attempts
{
public:
    /// @param most attempts that are kept, the newest ones
    /// @param time for which they are kept
    open_attempts(std::size_t most, absl::Duration time)
        : m_most(most), m_time(time)
    {
    }

    void note(const server_life& life, open_attempt attempt);

    /// @return whether some were at that life of a server
    [[nodiscard]] bool has(const server_life& life, absl::Time now);

    /// The life is over.
    /// @return those that were there; they are not kept any longer
    std::vector<open_attempt> take(const server_life& life, absl::Time now);

private:
    struct entry
    {
        server_life life;
        open_attempt attempt;
    };

    void forget_old(absl::Time now);

    std::size_t m_most;
    absl::Duration m_time;
    std::deque<entry> m_entries; ///< those that ended first, first
};

} // namespace daleshelf
