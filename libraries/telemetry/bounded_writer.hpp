/// @file
/// Writes lines to a descriptor whose reader may stand still.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Never blocks: what the reader does not take is held up to a bound; lines
/// beyond it are dropped, counted, and told in one line once there is room.
class bounded_writer
{
public:
    /// @param descriptor is set to non-blocking
    explicit bounded_writer(int descriptor);

    /// @param line without its end
    void add(std::string_view line);

    /// Writes what is held, as far as it is taken at once.
    void flush();

    /// Writes what is held and what was dropped, at a process's end: nothing is
    /// in flight then, and a reader that is only slow is waited for.
    /// @param longest at the most
    void finish(std::chrono::milliseconds longest);

    /// @return lines dropped so far
    [[nodiscard]] std::int64_t dropped() const
    {
        return m_dropped;
    }

    /// Most bytes that are held.
    static constexpr std::size_t most_held = 262144;

private:
    void add_drops();

    int m_descriptor;
    std::string m_held;
    std::int64_t m_dropped = 0;
    std::int64_t m_told = 0; ///< drops that a line has told of
};

} // namespace daleshelf
