// Relay of an upstream's response to the client.
#include "buffer_share.hpp"
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <platform/request_format.hpp>

namespace daleshelf
{

namespace
{

// Longest silence within an event stream before it is resumed at another
// upstream, if one can take it.
constexpr milliseconds max_event_gap{2500};
// Time between two searches for an upstream that can resume a silent stream.
constexpr milliseconds search_interval{250};

bool is_event_stream(const response_head& head)
{
    const auto* type = head.fields.find("Content-Type");
    return type != nullptr && type->starts_with("text/event-stream");
}

} // namespace

awaitable<request_flow::attempt_result>
request_flow::relay(server_exchange& exchange)
{
    // Only successes are known to be signed.
    const bool is_success =
        exchange.head().status < http_status::first_redirection;
    if (is_success && is_event_stream(exchange.head()))
    {
        co_return co_await relay_event_stream(exchange);
    }
    if (m_response.has_begun())
    {
        // A stream is being resumed, and this response is not a stream.
        co_return attempt_result::broken;
    }
    co_return co_await relay_body(exchange);
}

awaitable<request_flow::attempt_result>
request_flow::relay_body(server_exchange& exchange)
{
    count_usage();
    // Longer responses are streamed to the client instead of buffered.
    buffer_share share(m_state.buffers);
    std::string body;
    while (true)
    {
        const auto state = co_await exchange.read_piece(m_deadline);
        if (state == exchange_state::piece)
        {
            body += exchange.take_piece();
            share.set(body.size());
            if (body.size() <= m_state.buffers.allowance())
            {
                continue;
            }
            const bool is_sent =
                co_await send_piece(exchange.head(), std::move(body));
            body.clear();
            share.set(0);
            if (!is_sent)
            {
                co_return attempt_result::abandoned;
            }
            continue;
        }
        if (m_is_cancelled)
        {
            co_return attempt_result::abandoned;
        }
        if (state != exchange_state::complete)
        {
            co_return state == exchange_state::deadline_passed
                ? attempt_result::late
                : attempt_result::broken;
        }
        break;
    }
    if (m_response.has_begun())
    {
        co_await m_response.append(std::move(body));
        const bool is_sent = co_await m_response.finish();
        co_return is_sent ? attempt_result::answered
                          : attempt_result::abandoned;
    }
    const auto status = exchange.head().status;
    if (status >= http_status::first_server_error && allows_repeats(*m_route) &&
        status != http_status::gateway_timeout)
    {
        m_error_response.emplace(exchange.head(), std::move(body));
        co_return attempt_result::server_error;
    }
    const bool is_sent =
        co_await m_response.send_complete(exchange.head(), std::move(body));
    co_return is_sent ? attempt_result::answered : attempt_result::abandoned;
}

awaitable<request_flow::attempt_result>
request_flow::relay_event_stream(server_exchange& exchange)
{
    if (!m_weights_version)
    {
        m_weights_version = platform::weights_version(exchange.head().fields);
    }
    count_usage();
    event_splitter splitter;
    buffer_share share(m_state.buffers);
    const auto first_at = monotonic::now();
    begin_events();
    const auto before = last_event().value_or(m_facts.last_event.value_or(0));
    auto patience = max_event_gap;
    while (true)
    {
        const auto until = std::min(m_deadline, monotonic::now() + patience);
        const auto state = co_await exchange.read_piece(until);
        if (m_is_cancelled)
        {
            co_return attempt_result::abandoned;
        }
        if (state == exchange_state::piece)
        {
            patience = max_event_gap;
            splitter.add(exchange.take_piece());
            bool is_in_order = true;
            const auto last_before = last_event();
            const auto arrived_at = monotonic::now();
            const bool is_taken =
                co_await forward_events(splitter, exchange.head(), is_in_order);
            if (!is_taken)
            {
                co_return attempt_result::abandoned;
            }
            share.set(splitter.buffered_bytes());
            const bool is_overlong =
                splitter.is_overlong() ||
                splitter.buffered_bytes() > m_state.buffers.allowance();
            if (!is_in_order || is_overlong)
            {
                co_return attempt_result::broken;
            }
            if (last_before)
            {
                record_pace(exchange.server(), *last_event() - *last_before,
                            monotonic::now() - arrived_at);
            }
            continue;
        }
        if (state == exchange_state::deadline_passed)
        {
            if (monotonic::now() >= m_deadline)
            {
                co_return attempt_result::late;
            }
            // Silence alone proves no failure: an engine may have preempted the
            // request. It is only aborted once its resumption is reserved.
            const bool is_reserved = co_await reserve_resumption();
            if (is_reserved)
            {
                co_return attempt_result::broken;
            }
            patience = search_interval;
            continue;
        }
        if (state == exchange_state::failed || splitter.has_partial() ||
            !m_response.has_begun())
        {
            co_return attempt_result::broken;
        }
        const auto events = last_event().value_or(before) - before;
        const auto time = monotonic::now() - first_at;
        record_generation_time(events, time);
        record_output_length(events);
        if (events > 1)
        {
            m_seen.gap_ms = to_ms(time) / static_cast<double>(events - 1);
        }
        const bool is_sent = co_await m_response.finish();
        co_return is_sent ? attempt_result::answered
                          : attempt_result::abandoned;
    }
}

// Begins the events of an upstream's response.
void request_flow::begin_events()
{
    if (!m_events)
    {
        m_events.emplace(m_facts.last_event.value_or(0),
                         m_route->is_resumable ? event_numbering::required
                                               : event_numbering::optional);
    }
    m_events->begin_response();
}

std::optional<std::int64_t> request_flow::last_event() const
{
    return m_events ? m_events->last_forwarded() : std::nullopt;
}

// Forwards the complete events received so far. Events that the client already
// has are dropped.
// @param is_in_order set to false if an event does not follow the last one
// @return whether the client accepts the bytes
awaitable<bool> request_flow::forward_events(event_splitter& splitter,
                                             const response_head& head,
                                             bool& is_in_order)
{
    std::string bytes;
    while (auto event = splitter.next())
    {
        const auto verdict = m_events->check(*event);
        if (verdict == event_verdict::invalid)
        {
            is_in_order = false;
            m_response_fault = response_fault::event_out_of_sequence;
            break;
        }
        if (verdict == event_verdict::forwarded)
        {
            bytes += event->bytes;
        }
    }
    if (bytes.empty())
    {
        co_return true;
    }
    record_stream_origin();
    m_first_event_at = m_first_event_at.value_or(monotonic::now());
    co_return co_await send_piece(head, std::move(bytes));
}

// Sends a piece of the body, preceded by the head if none was sent.
// @return whether the client accepts the bytes
awaitable<bool> request_flow::send_piece(const response_head& head,
                                         std::string bytes)
{
    if (m_response.has_begun())
    {
        co_return co_await m_response.append(std::move(bytes));
    }
    co_return co_await m_response.begin(head, std::move(bytes));
}

} // namespace daleshelf
