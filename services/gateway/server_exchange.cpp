#include "server_exchange.hpp"

namespace daleshelf
{

namespace
{

constexpr std::uint32_t max_head_bytes = 65536;
// Informational responses, and responses to earlier requests, before the one
// that is awaited. Upstreams send one or two.
constexpr int max_skipped_responses = 32;
// Bodies of responses to earlier requests. The longest usual response, to a
// prompt of 12,000 tokens, has about 50 KB.
constexpr std::size_t max_skipped_bytes = 1048576;
// Longest body that ends with its connection. Nothing shows whether such a body
// is a response, so the limit is eighty times the longest usual response; the
// link of a host (10 Mbit/s) carries it in 3.4 s. Longer responses have a
// length or are chunked.
constexpr std::size_t max_unframed_bytes = 4194304;
// Longer than the framing of a chunk.
constexpr std::size_t max_body_input = 32768;
// One write is cheaper than two.
constexpr std::size_t max_copied_body = 16384;
// An upstream that reads later than this may be draining by then.
constexpr milliseconds send_timeout{1500};

} // namespace

server_exchange::server_exchange(upstream_connector& upstreams,
                                 server_request request)
    : m_upstreams(upstreams), m_request(std::move(request))
{
}

server_exchange::~server_exchange()
{
    if (m_connection)
    {
        m_connection->channel->reset();
    }
}

awaitable<exchange_state> server_exchange::start()
{
    const bool is_connected = co_await connect();
    if (!is_connected)
    {
        co_return fail();
    }
    if (monotonic::now() >= m_request.deadline)
    {
        co_return exchange_state::deadline_passed;
    }
    const bool is_sent = co_await send();
    if (!is_sent)
    {
        co_return fail();
    }
    co_return co_await read_head();
}

awaitable<exchange_state>
server_exchange::read_piece(monotonic::time_point until)
{
    while (true)
    {
        if (m_is_cancelled)
        {
            co_return fail();
        }
        try
        {
            parse_input();
            take_body();
            // An upstream that always has input available would defer the
            // deadline, which otherwise ends only a wait.
            if (!m_parser->is_complete() &&
                monotonic::now() >= m_request.deadline)
            {
                co_return exchange_state::deadline_passed;
            }
            if (!m_piece.empty())
            {
                co_return exchange_state::piece;
            }
            if (m_parser->is_complete())
            {
                release();
                co_return exchange_state::complete;
            }
            const auto& channel = *m_connection->channel;
            const bool is_relayed = !m_connection->relay.value().empty();
            if (channel.connection_state() == channel_state::finished &&
                is_relayed)
            {
                // The end of a relaying process looks the same as the end of a
                // response without a length.
                co_return fail();
            }
            if (channel.connection_state() == channel_state::finished)
            {
                // The remaining input is an incomplete chunk.
                m_parser->feed_end();
                release();
                co_return exchange_state::complete;
            }
            if (channel.connection_state() == channel_state::broken)
            {
                co_return fail();
            }
        }
        catch (const parse_error& error)
        {
            co_return fail(error);
        }
        const bool has_input =
            co_await m_connection->channel->wait_input(until);
        if (!has_input)
        {
            co_return exchange_state::deadline_passed;
        }
    }
}

void server_exchange::cancel()
{
    m_is_cancelled = true;
    if (m_connection)
    {
        m_connection->channel->reset();
    }
}

void server_exchange::expire()
{
    m_request.deadline = std::min(m_request.deadline, monotonic::now());
    if (!m_connection)
    {
        return;
    }
    auto& channel = *m_connection->channel;
    if (channel.writing_since())
    {
        channel.reset();
        return;
    }
    channel.interrupt_wait();
}

awaitable<bool> server_exchange::connect()
{
    auto result = co_await m_upstreams.connect(
        m_request.server, m_request.is_repeatable, m_request.deadline);
    m_connect_error = result.error;
    m_connection = std::move(result.connection);
    co_return m_connection != nullptr && !m_is_cancelled;
}

awaitable<bool> server_exchange::send()
{
    const auto until =
        std::min(m_request.deadline, monotonic::now() + send_timeout);
    auto head = m_request.serialize_head();
    if (head.empty())
    {
        co_return false;
    }
    const auto result = co_await write_request(std::move(head), until);
    if (result.size > 0)
    {
        m_verdict = verdict::may_have_run;
    }
    // An upstream can respond and close before the request is fully sent.
    co_return result.is_complete || !m_connection->channel->input().empty();
}

// A short body is written along with the head; a copy of a long one would
// double what the request holds.
awaitable<byte_channel::write_result>
server_exchange::write_request(std::string head, monotonic::time_point until)
{
    auto& channel = *m_connection->channel;
    const bool is_short = m_request.body.size() <= max_copied_body;
    if (is_short)
    {
        head += m_request.body;
    }
    auto result = co_await channel.write(head, until);
    if (is_short || !result.is_complete)
    {
        co_return result;
    }
    const auto rest = co_await channel.write(m_request.body, until);
    result.size += rest.size;
    result.is_complete = rest.is_complete;
    co_return result;
}

awaitable<exchange_state> server_exchange::read_head()
{
    make_parser();
    m_connection->channel->set_input_limit(byte_channel::default_max_input);
    while (true)
    {
        if (m_is_cancelled)
        {
            co_return fail();
        }
        try
        {
            if (parse_input())
            {
                m_upstreams.record_response(m_request.server.service);
                m_is_framed = !m_parser->ends_with_connection();
                m_connection->channel->set_input_limit(max_body_input);
                co_return exchange_state::head;
            }
        }
        catch (const parse_error& error)
        {
            co_return fail(error);
        }
        if (m_connection->channel->connection_state() != channel_state::open)
        {
            co_return fail();
        }
        const bool has_input =
            co_await m_connection->channel->wait_input(m_request.deadline);
        if (!has_input)
        {
            co_return exchange_state::deadline_passed;
        }
    }
}

void server_exchange::make_parser()
{
    m_parser = std::make_unique<response_parser>(max_head_bytes);
    if (m_request.has_no_response_body)
    {
        m_parser->expect_no_body();
    }
}

// Feeds the received bytes to the parser.
// @return whether the head of the response to this request is available
bool server_exchange::parse_input()
{
    auto& channel = *m_connection->channel;
    while (true)
    {
        const bool had_head = m_parser->has_head() && !m_is_unrelated;
        if (!m_parser->is_complete())
        {
            channel.consume(m_parser->feed(channel.input()));
        }
        if (!m_parser->has_head())
        {
            return false;
        }
        if (had_head)
        {
            return true;
        }
        // 1. A new head.
        if (!m_is_unrelated)
        {
            accept_head();
        }
        if (!m_is_unrelated)
        {
            return true;
        }
        // 2. A response to another request, or an informational one: skip it.
        count_skipped(m_parser->take_body().size());
        if (!m_parser->is_complete())
        {
            return false;
        }
        ++m_skipped_responses;
        make_parser();
        m_is_unrelated = false;
    }
}

// Checks a new head: whether it is genuine, and which request it responds to.
// @throws parse_error if it responds to this request without being the
// upstream's answer
void server_exchange::accept_head()
{
    m_head = m_parser->take_head();
    const auto check = check_response(m_head, m_request.id);
    m_is_unrelated = check.relation != response_relation::own;
    if (check.fault == response_fault::none)
    {
        merge_notice(platform::read_notice(m_head), m_is_unrelated);
        return;
    }
    if (!m_is_unrelated)
    {
        m_response_fault = check.fault;
        throw parse_error(parse_fault::malformed,
                          "the response is not the upstream's answer");
    }
}

// Takes the body that has arrived since the last call.
// @throws parse_error if a body that ends with its connection is too long
void server_exchange::take_body()
{
    const auto body = m_parser->take_body();
    m_body_bytes += body.size();
    if (!m_is_framed && m_body_bytes > max_unframed_bytes)
    {
        throw parse_error(parse_fault::body_too_large,
                          "a body without framing is too long");
    }
    m_piece += body;
}

// Counts a part of a skipped response.
// @throws parse_error if too much is skipped
void server_exchange::count_skipped(std::size_t body_bytes)
{
    m_skipped_bytes += body_bytes;
    if (m_skipped_bytes > max_skipped_bytes ||
        m_skipped_responses >= max_skipped_responses)
    {
        throw parse_error(parse_fault::malformed,
                          "the responses before the awaited one are too many "
                          "or too long");
    }
}

// Merges the notice of one more response. A response to an earlier request can
// predate the known limit, so it does not end the limit.
void server_exchange::merge_notice(const platform::server_notice& notice,
                                   bool is_unrelated)
{
    m_notice.limit = notice.limit ? notice.limit : m_notice.limit;
    m_notice.withdraws_limit = notice.withdraws_limit && !is_unrelated;
    m_notice.rejection_limit = notice.rejection_limit
                                   ? notice.rejection_limit
                                   : m_notice.rejection_limit;
    m_notice.withdraws_rejection_limit =
        notice.withdraws_rejection_limit && !is_unrelated;
    m_notice.is_rejected = notice.is_rejected && !is_unrelated;
    m_notice.has_malformed_limit =
        m_notice.has_malformed_limit || notice.has_malformed_limit;
    m_notice.is_leaving = m_notice.is_leaving || notice.is_leaving;
    if (notice.back_off)
    {
        m_notice.back_off = std::max(
            *notice.back_off, m_notice.back_off.value_or(milliseconds(0)));
    }
}

exchange_state server_exchange::fail()
{
    if (m_connection)
    {
        m_connection->channel->reset();
    }
    return exchange_state::failed;
}

exchange_state server_exchange::fail(const parse_error& error)
{
    if (m_response_fault == response_fault::none &&
        error.fault() != parse_fault::cut_off)
    {
        m_response_fault = response_fault::malformed;
    }
    return fail();
}

// Handles the complete response: returns the connection to the pool if it can
// be reused.
void server_exchange::release()
{
    const bool is_reusable = m_is_framed &&
                             keeps_connection(m_head.fields, m_head.version) &&
                             m_connection->channel->is_idle();
    if (!is_reusable)
    {
        m_connection->channel->close();
        return;
    }
    if (const auto idle = platform::idle_time(m_head.fields))
    {
        m_connection->idle_limit = *idle;
    }
    m_upstreams.keep(std::move(m_connection));
}

} // namespace daleshelf
