/// @file
/// Cuts a stream of bytes into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// One whole event of a `text/event-stream`, with its closing blank line.
struct stream_event
{
    std::string bytes;
    std::optional<std::int64_t> id;
};

/// Takes bytes as they come and gives whole events only, so that a server
/// that stops partway through an event never shows at the client.
class event_splitter
{
public:
    /// @param bytes the next bytes of the stream
    void add(std::string_view bytes);

    /// @return the next whole event, if there is one
    [[nodiscard]] std::optional<stream_event> next();

    /// @return whether bytes of an unfinished event are held
    [[nodiscard]] bool has_partial() const
    {
        return m_held.size() > m_start;
    }

private:
    std::string m_held;
    std::size_t m_start = 0;   ///< where the next event begins
    std::size_t m_scanned = 0; ///< no event ends before this
};

} // namespace daleshelf
