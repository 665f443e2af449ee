#include "client_session.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <base/text.hpp>
#include <platform/request_format.hpp>
#include <telemetry/log.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

constexpr std::chrono::seconds max_write_time{20};
constexpr milliseconds linger_time{300};
constexpr milliseconds retry_when_shed{250};
// Input behind a request in progress. Further requests can wait there, and the
// close of a connection is seen behind it.
constexpr std::size_t max_pipelined_input = 1024;

int status_of(parse_fault fault)
{
    switch (fault)
    {
    case parse_fault::head_too_large:
        return http_status::header_fields_too_large;
    case parse_fault::body_too_large:
        return http_status::payload_too_large;
    case parse_fault::malformed:
    case parse_fault::cut_off:
        break;
    }
    return http_status::bad_request;
}

ingress_limits limits_of(const gateway_state& state)
{
    return state.routes == nullptr ? ingress_limits()
                                   : state.routes->configuration().limits;
}

// @return enough for the longest head, and for the framing of a chunk
std::size_t input_limit(const ingress_limits& limits)
{
    return std::max(max_chunk_framing_bytes,
                    static_cast<std::size_t>(limits.header_bytes)) +
           1;
}

} // namespace

client_session::client_session(gateway_state& state,
                               asio::ip::tcp::socket socket)
    : m_state(state)
    , m_channel(std::make_shared<byte_channel>(std::move(socket)))
    , m_memory(state.client_memory, [this] { shed(); })
    , m_waiting_since(monotonic::now())
{
}

awaitable<void> client_session::run()
{
    const auto self = shared_from_this();
    m_channel->set_close_handler(
        [this]
        {
            if (m_flow != nullptr)
            {
                m_flow->cancel();
            }
        });
    m_channel->start();
    while (m_channel->connection_state() == channel_state::open)
    {
        client_request request;
        const bool is_read = co_await read_request(request);
        if (!is_read)
        {
            break;
        }
        const bool is_kept = co_await serve(std::move(request));
        if (!is_kept)
        {
            break;
        }
    }
    m_channel->set_close_handler(nullptr);
    m_channel->close();
}

void client_session::close_if_idle()
{
    if (m_flow == nullptr && !m_is_reading && m_channel->input().empty())
    {
        m_channel->close();
    }
}

std::optional<monotonic::time_point> client_session::waiting_since() const
{
    if (m_channel->connection_state() == channel_state::broken)
    {
        return std::nullopt;
    }
    return m_flow == nullptr ? m_waiting_since : m_channel->writing_since();
}

void client_session::expire()
{
    if (m_flow != nullptr)
    {
        m_flow->expire();
    }
}

void client_session::close_if_stalled(monotonic::time_point now)
{
    const auto since = m_channel->writing_since();
    if (since && now - *since > max_write_time)
    {
        m_channel->close();
    }
}

// @return whether a complete request was read
awaitable<bool> client_session::read_request(client_request& request)
{
    const auto limits = limits_of(m_state);
    m_channel->set_input_limit(input_limit(limits));
    m_waiting_since = monotonic::now();
    reading progress{
        request_parser(static_cast<std::uint32_t>(limits.header_bytes),
                       limits.body_bytes),
        request, m_waiting_since + limits.idle_timeout};
    m_unfinished = &request;
    std::optional<parse_error> error;
    while (!m_is_shed)
    {
        try
        {
            const bool is_complete = take_input(progress, limits);
            if (is_complete)
            {
                m_unfinished = nullptr;
                co_return true;
            }
        }
        catch (const parse_error& caught)
        {
            error = caught;
        }
        if (error)
        {
            co_await reject_unreadable(*error);
            co_return false;
        }
        if (m_is_shed)
        {
            break;
        }
        if (m_channel->connection_state() != channel_state::open)
        {
            co_return false;
        }
        const bool has_input =
            co_await m_channel->wait_input(progress.deadline);
        if (!has_input)
        {
            if (m_is_reading)
            {
                co_await reject(http_status::request_timeout);
            }
            co_return false;
        }
        if (progress.has_head)
        {
            progress.deadline = monotonic::now() + limits.idle_timeout;
        }
    }
    co_await reject_for_memory(request.head);
    co_return false;
}

// Parses the input that has arrived.
// @return whether the request is complete
// @throws parse_error if the input is no request, or exceeds a limit
bool client_session::take_input(reading& progress, const ingress_limits& limits)
{
    auto& parser = progress.parser;
    auto& request = progress.request;
    if (!m_channel->input().empty() && !m_is_reading)
    {
        m_is_reading = true;
        m_waiting_since = monotonic::now();
        m_memory.begin(gateway_state::to_time(m_waiting_since));
        progress.deadline = m_waiting_since + limits.header_timeout;
    }
    const auto taken = parser.feed(m_channel->input());
    m_channel->consume(taken);
    if (!progress.has_head)
    {
        progress.head_bytes += taken;
    }
    if (parser.has_head() && !progress.has_head)
    {
        progress.has_head = true;
        request.head = parser.take_head();
        if (request_parser::is_ambiguous(request.head) ||
            request.head.fields.count("Host") != 1)
        {
            throw parse_error(parse_fault::malformed, "ambiguous");
        }
        progress.deadline = monotonic::now() + limits.idle_timeout;
    }
    if (!take_body(progress, limits))
    {
        return false;
    }
    if (parser.is_complete())
    {
        m_is_reading = false;
        m_memory.complete();
        request.received = monotonic::now();
        return true;
    }
    if (m_channel->input().size() > limits.header_bytes && !progress.has_head)
    {
        throw parse_error(parse_fault::head_too_large, "head");
    }
    return false;
}

// Appends the body that has arrived.
// @return whether there is memory for it; if not, the request is shed
bool client_session::take_body(reading& progress, const ingress_limits& limits)
{
    if (!m_is_reading)
    {
        return true;
    }
    auto& body = progress.request.body;
    const auto piece = progress.parser.take_body();
    const auto size = body.size() + piece.size();
    auto capacity = body.capacity();
    if (size > capacity)
    {
        const std::size_t doubled = capacity * 2;
        capacity = std::max<std::size_t>(
            size, std::min<std::size_t>(doubled, limits.body_bytes));
    }
    const bool fits = m_memory.resize(
        progress.head_bytes + m_channel->input_capacity() + capacity,
        gateway_state::now());
    if (!fits)
    {
        m_memory.release();
        shed();
        return false;
    }
    body.reserve(capacity);
    body += piece;
    return true;
}

// Frees what the unfinished request holds. The session rejects it when it runs
// next.
void client_session::shed()
{
    m_is_shed = true;
    release_memory(m_unfinished->body);
    m_channel->interrupt_wait();
}

// @return whether the connection can carry another request
awaitable<bool> client_session::serve(client_request request)
{
    response_constraints constraints;
    constraints.allows_chunked = request.head.version >= http_1_1;
    constraints.allows_keep_alive =
        keeps_connection(request.head.fields, request.head.version) &&
        !m_state.is_stopping;
    constraints.omits_body = request.head.method == "HEAD";
    client_response response(*m_channel, constraints);
    m_channel->set_input_limit(max_pipelined_input);
    {
        request_flow flow(m_state, response, std::move(request));
        m_flow = &flow;
        co_await flow.run();
        m_flow = nullptr;
    }
    m_memory.release();
    m_waiting_since = monotonic::now();
    if (!response.keeps_alive() &&
        m_channel->connection_state() == channel_state::open)
    {
        m_channel->finish_sending();
        co_await m_channel->wait_input(monotonic::now() + linger_time);
    }
    co_return response.keeps_alive();
}

awaitable<void> client_session::reject(int status, std::string_view extra)
{
    response_constraints constraints;
    constraints.allows_keep_alive = false;
    client_response response(*m_channel, constraints);
    co_await response.send_local(status, extra);
}

awaitable<void> client_session::reject_unreadable(const parse_error& error)
{
    const auto status = status_of(error.fault());
    log(events::request_unreadable,
        {{"status", std::to_string(status)}, {"fault", error.what()}});
    m_memory.release();
    co_await reject(status);
    co_await discard_input();
}

// Rejects an unfinished request, which has not run, for want of memory.
awaitable<void> client_session::reject_for_memory(const request_head& head)
{
    const auto id = platform::read_facts(head.fields).id.value();
    const auto& memory = *m_state.client_memory;
    m_state.meter.count_shed_request();
    log(events::request_refused,
        {{"id", id},
         {"status", std::to_string(http_status::unavailable)},
         {"reason", "request_memory"},
         {"held", static_cast<std::int64_t>(memory.held())},
         {"limit", static_cast<std::int64_t>(memory.limit())}});
    std::string extra;
    platform::write_rejection_fields(extra, id, retry_when_shed);
    co_await reject(http_status::unavailable, extra);
    co_await discard_input();
}

// Reads and discards further input for a moment: closing with unread bytes
// would send a reset, and the client could lose the response.
awaitable<void> client_session::discard_input()
{
    m_channel->finish_sending();
    const auto until = monotonic::now() + linger_time;
    while (m_channel->connection_state() == channel_state::open &&
           monotonic::now() < until)
    {
        m_channel->consume(m_channel->input().size());
        co_await m_channel->wait_input(until);
    }
}

} // namespace daleshelf
