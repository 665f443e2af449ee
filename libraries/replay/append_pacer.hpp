/// @file
/// Paces the appends of one host to one stream, free of I/O.
#pragma once

#include "backoff.hpp"

#include <absl/time/time.h>

#include <base/log_page.hpp>
#include <cstdint>

namespace daleshelf
{

/// One append at a time, at a bounded rate, less often while they fail. What
/// gathers meanwhile goes into the next one.
class append_pacer
{
public:
    /// @param interval between two appends at the least
    /// @param longest_pause after failures at the most
    /// @param seed of the jitter
    append_pacer(absl::Duration interval, absl::Duration longest_pause,
                 std::uint64_t seed)
        : m_interval(interval), m_backoff(interval * 2, longest_pause, seed)
    {
    }

    /// @return whether an append may be sent now
    [[nodiscard]] bool is_free(absl::Time now) const
    {
        return !m_is_appending && now >= m_next;
    }

    /// An append is on its way.
    void begin()
    {
        m_is_appending = true;
    }

    /// The append has been answered or given up.
    void end(const log_append_result& result, absl::Time now)
    {
        m_is_appending = false;
        if (result.state == log_append_result::outcome::appended)
        {
            m_backoff.reset();
            m_next = now + m_interval;
            return;
        }
        m_next = now + m_backoff.next();
    }

private:
    absl::Duration m_interval;
    backoff m_backoff;
    bool m_is_appending = false;
    absl::Time m_next = absl::InfinitePast();
};

} // namespace daleshelf
