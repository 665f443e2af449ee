/// @file
/// Where a reader of a log's stream stands, free of I/O.
#pragma once

#include "backoff.hpp"

#include <absl/time/time.h>

#include <base/log_page.hpp>
#include <cstdint>

namespace daleshelf
{

/// Paces the reads of one stream and tells what an answer means. A reader
/// never goes back, whatever the log answers.
class log_cursor
{
public:
    /// What an answer means for a reader.
    enum class page
    {
        unreachable, ///< no answer
        trimmed,     ///< the records wanted are gone
        went_back,   ///< the log ends before what was read already
        records,     ///< go on; there may be none
    };

    /// @param shortest_pause after a failure
    /// @param longest_pause after many
    /// @param seed of the jitter
    log_cursor(absl::Duration shortest_pause, absl::Duration longest_pause,
               std::uint64_t seed)
        : m_backoff(shortest_pause, longest_pause, seed)
    {
    }

    /// @return whether a read is to be started; it counts as started then
    bool begin_read(absl::Time now)
    {
        if (m_is_reading || now < m_next_read)
        {
            return false;
        }
        m_is_reading = true;
        return true;
    }

    /// @param result the answer to the read
    /// @param next first offset that the reader has not applied
    /// @param now the time
    page take(const log_read_result& result, log_offset next, absl::Time now)
    {
        using outcome = log_read_result::outcome;
        m_is_reading = false;
        m_is_reachable = result.state != outcome::unreachable;
        if (!m_is_reachable)
        {
            m_next_read = now + m_backoff.next();
            return page::unreachable;
        }
        m_log_next = result.next;
        if (result.next < next)
        {
            m_next_read = now + m_backoff.next();
            return page::went_back;
        }
        if (result.state == outcome::trimmed)
        {
            m_next_read = now + m_backoff.next();
            return page::trimmed;
        }
        m_backoff.reset();
        m_next_read = now;
        return page::records;
    }

    /// @return whether the last read was answered
    [[nodiscard]] bool is_reachable() const
    {
        return m_is_reachable;
    }

    /// @return end of the log at the last answer
    [[nodiscard]] log_offset log_next() const
    {
        return m_log_next;
    }

private:
    backoff m_backoff;
    bool m_is_reading = false;
    bool m_is_reachable = false;
    log_offset m_log_next;
    absl::Time m_next_read = absl::InfinitePast();
};

} // namespace daleshelf
