/// @file
/// Checks that the events of a stream follow each other.
#pragma once

#include <cstdint>
#include <optional>

namespace daleshelf
{

struct stream_event;

/// What becomes of an event of a stream.
enum class event_verdict
{
    forwarded, ///< the client does not have it yet
    repeated,  ///< the client has it already
    invalid,   ///< it does not follow the event before it
};

/// Whether the events of a stream have to be numbered.
enum class event_numbering
{
    required, ///< 1, 2, 3 and so on, as is needed to resume the stream
    optional, ///< none has a number, or each has the last one plus one
};

/// Checks the events that one upstream after the other sends for a stream. An
/// upstream continues a stream after the last event that it was asked to, or
/// repeats events before; within its response no number is left out or comes
/// twice.
class event_sequence
{
public:
    /// @param last_received number of the last event that the client had
    /// before; 0: it had none
    event_sequence(std::int64_t last_received, event_numbering numbering)
        : m_numbering(numbering)
    {
        if (numbering == event_numbering::required)
        {
            m_last = last_received;
        }
    }

    /// Begins the response of the next upstream.
    void begin_response()
    {
        m_last_of_response.reset();
    }

    /// Checks the next event of the response.
    /// @return what becomes of it; nothing may follow an invalid one
    [[nodiscard]] event_verdict check(const stream_event& event);

    /// @return number of the last event to forward, if there was one
    [[nodiscard]] std::optional<std::int64_t> last_forwarded() const
    {
        return m_last_forwarded;
    }

private:
    event_verdict check_unnumbered();
    [[nodiscard]] bool follows(std::int64_t number) const;

    event_numbering m_numbering;
    /// Number of the last event that the client has; nothing: any may be next.
    std::optional<std::int64_t> m_last;
    std::optional<std::int64_t> m_last_forwarded;
    std::optional<std::int64_t> m_last_of_response;
    bool m_has_unnumbered = false; ///< one was forwarded
};

} // namespace daleshelf
