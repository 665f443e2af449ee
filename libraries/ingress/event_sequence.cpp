#include "event_sequence.hpp"

#include "event_splitter.hpp"

namespace daleshelf
{

event_verdict event_sequence::check(const stream_event& event)
{
    if (!event.has_id && !event.has_data)
    {
        // A comment, as is sent to keep connections open.
        return event_verdict::forwarded;
    }
    if (!event.id)
    {
        return check_unnumbered();
    }
    if (m_has_unnumbered || !follows(*event.id))
    {
        return event_verdict::invalid;
    }
    m_last_of_response = event.id;
    if (m_last && *event.id <= *m_last)
    {
        return event_verdict::repeated;
    }
    m_last = event.id;
    m_last_forwarded = event.id;
    return event_verdict::forwarded;
}

event_verdict event_sequence::check_unnumbered()
{
    if (m_numbering == event_numbering::required || m_last_forwarded)
    {
        return event_verdict::invalid;
    }
    m_has_unnumbered = true;
    return event_verdict::forwarded;
}

bool event_sequence::follows(std::int64_t number) const
{
    if (m_last_of_response)
    {
        return number == *m_last_of_response + 1;
    }
    return !m_last || (number >= 1 && number <= *m_last + 1);
}

} // namespace daleshelf
