/// @file
/// Pauses that double, with jitter.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <random>

namespace daleshelf
{

/// Keeps hosts that failed together from coming back together.
class backoff
{
public:
    /// @param shortest the first pause
    /// @param longest no pause is longer
    /// @param seed of the jitter
    backoff(absl::Duration shortest, absl::Duration longest, std::uint64_t seed)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_pause(shortest)
        , m_random(seed)
    {
    }

    /// It went well: the next pause is the shortest again.
    void reset()
    {
        m_pause = m_shortest;
    }

    /// @return the next pause, between half of it and all of it
    absl::Duration next()
    {
        std::uniform_real_distribution<double> part(0.5, 1.0);
        const auto pause = m_pause * part(m_random);
        m_pause = std::min(m_pause * 2, m_longest);
        return pause;
    }

private:
    absl::Duration m_shortest;
    absl::Duration m_longest;
    absl::Duration m_pause;
    std::mt19937_64 m_random;
};

} // namespace daleshelf
