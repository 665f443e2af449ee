/// @file
/// Non-blocking line output to a descriptor whose reader may stall.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Buffers, up to a bound, the lines that the reader does not accept at once.
/// Lines beyond the bound are dropped and counted; one line reports their
/// number as soon as the buffer has room again. Only `finish` blocks.
class bounded_writer
{
public:
    /// @param descriptor is set to non-blocking
    explicit bounded_writer(int descriptor);

    /// Writes or buffers one line, or drops it if the buffer is full.
    /// @param line the line, without a line terminator
    void add(std::string_view line);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// Writes the buffer and the number of dropped lines when the process
    /// stops. Blocks for a slow reader, which is safe since no request is in
    /// flight any more.
    /// @param timeout maximum time to block
    void finish(std::chrono::milliseconds timeout);

    /// @return number of lines dropped so far
    [[nodiscard]] std::int64_t dropped() const
    {
        return m_dropped;
    }

    /// Maximum size of the buffer, in bytes.
    static constexpr std::size_t max_buffered_bytes = 262144;

private:
    void append_drop_report();

    int m_descriptor;
    std::string m_buffer;
    std::int64_t m_dropped = 0;
    std::int64_t m_reported_drops = 0; ///< dropped lines that were reported
};

} // namespace daleshelf
