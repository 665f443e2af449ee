#include "http_sinks.hpp"

#include "caller_format.hpp"

#include <http/http_exchange.hpp>
#include <utility>

namespace daleshelf
{

stream_sink::stream_sink(std::shared_ptr<http_exchange> exchange,
                         token_position from)
    : m_exchange(std::move(exchange)), m_from(from)
{
}

void stream_sink::start(const request_machine& request)
{
    if (m_is_started)
    {
        return;
    }
    m_is_started = true;
    m_exchange->start_stream(
        200, "text/event-stream",
        {{"Cache-Control", "no-store"},
         {"Daleshelf-Request-Id", request.description().id.value()}});
}

void stream_sink::on_token(const request_machine& request,
                           token_position position)
{
    if (position < m_from)
    {
        return;
    }
    start(request);
    m_exchange->write(to_token_event(request, position));
}

void stream_sink::on_complete(const request_machine& request)
{
    start(request);
    m_exchange->write(to_end_events(request));
    m_exchange->finish();
}

void stream_sink::on_moved(const request_machine& request)
{
    if (!m_is_started)
    {
        m_exchange->respond(to_moved_response(request));
        return;
    }
    m_exchange->write(to_moved_event(request));
    m_exchange->finish();
}

void stream_sink::on_fail(const request_machine& request,
                          const request_error& error)
{
    if (!m_is_started)
    {
        m_exchange->respond(to_failed_response(request, error));
        return;
    }
    m_exchange->write(to_error_event(error));
    m_exchange->finish();
}

whole_sink::whole_sink(std::shared_ptr<http_exchange> exchange)
    : m_exchange(std::move(exchange))
{
}

void whole_sink::on_token(const request_machine&, token_position) {}

void whole_sink::on_complete(const request_machine& request)
{
    m_exchange->respond(to_whole_response(request));
}

void whole_sink::on_moved(const request_machine& request)
{
    m_exchange->respond(to_moved_response(request));
}

void whole_sink::on_fail(const request_machine& request,
                         const request_error& error)
{
    m_exchange->respond(to_failed_response(request, error));
}

} // namespace daleshelf
