/// @file
/// Splits a byte stream into complete server-sent events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Longest event, with the blank line that ends it. Events of engines hold a
/// few tokens and have less than 1 KB; the limit leaves room for services that
/// send a whole document as one event.
inline constexpr std::size_t max_event_bytes = 262144;

/// One complete event of a `text/event-stream`, with the blank line that ends
/// it.
struct stream_event
{
    std::string bytes;
    std::optional<std::int64_t> id; ///< nothing without exactly one numeric id
    bool has_id = false;            ///< it has an id field, valid or not
    bool has_data = false;          ///< it has data; without, it is a comment
};

/// Buffers the bytes of a stream and returns complete events only, so that a
/// client never receives a partial event when an upstream fails in the middle
/// of one.
class event_splitter
{
public:
    /// @param bytes the next bytes of the stream
    void add(std::string_view bytes);

    /// @return the next complete event; nothing until more bytes arrive
    [[nodiscard]] std::optional<stream_event> next();

    /// @return whether next() has found an event, complete or not, that exceeds
    /// `max_event_bytes`; nothing is buffered or returned from then on
    [[nodiscard]] bool is_overlong() const
    {
        return m_is_overlong;
    }

    /// @return size of the incomplete event that is buffered
    [[nodiscard]] std::size_t buffered_bytes() const
    {
        return m_buffer.size() - m_start;
    }

    /// @return whether bytes of an incomplete event are buffered
    [[nodiscard]] bool has_partial() const
    {
        return buffered_bytes() > 0;
    }

private:
    std::string m_buffer;
    std::size_t m_start = 0;   ///< offset of the next event
    std::size_t m_scanned = 0; ///< no blank line begins before this offset
    bool m_is_overlong = false;
};

} // namespace daleshelf
