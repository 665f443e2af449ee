// One attempt at an upstream.
#include "request_flow.hpp"
#include "server_notices.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <platform/request_format.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

server_request request_flow::make_server_request(permitted_server& target) const
{
    server_request sent(std::move(target.permit), target.server);
    sent.id = m_facts.id.value();
    sent.serialize_head = [this, server = target.server]
    {
        return m_state.servers.has_restarted(server) ? std::string()
                                                     : serialized_head(server);
    };
    sent.body = m_request.body;
    sent.is_repeatable = allows_repeats(*m_route);
    sent.has_no_response_body = m_request.head.method == "HEAD";
    sent.deadline = m_deadline;
    return sent;
}

awaitable<request_flow::attempt_result>
request_flow::attempt(permitted_server& target, const choice_request& wanted)
{
    const auto& server = target.server;
    server_exchange exchange(m_state.upstreams, make_server_request(target));
    m_exchange = &exchange;
    m_attempted_version = server.version;
    m_first_event_at.reset();
    m_pace_since.reset();
    m_pace_events = 0;
    m_expected_first_ms =
        m_service->is_engine &&
                m_state.rollouts.has_running_order(m_service->name)
            ? m_state.choice.expected_first_ms(server, wanted)
            : 0;
    m_work = m_state.choice.begin_attempt(server.incarnation(), wanted,
                                          m_service->cache_tokens);
    m_seen = {};
    const auto suspect = m_suspect;
    if (suspect)
    {
        m_state.suspects.begin(suspect->fingerprint, server.id);
    }
    record_demand();
    const auto sent_at = monotonic::now();
    auto result = attempt_result::abandoned;
    auto state = exchange_state::failed;
    if (!m_is_cancelled)
    {
        state = co_await exchange.start();
    }
    m_connect_error = exchange.failure();
    m_response_fault = exchange.rejected_response();
    apply_notice(m_state, server, exchange.notice(),
                 gateway_state::to_time(sent_at));
    m_state.choice.end_prefill(server.incarnation(), m_work.expected_tokens);
    m_was_sent = exchange.known_verdict() != verdict::not_run;
    if (m_was_sent)
    {
        ++m_attempts;
        m_state.rollouts.record_sent(server.service, server.version);
    }
    else
    {
        m_state.limits.refund(exchange.take_permit());
    }
    auto outcome = attempt_outcome::succeeded;
    if (m_is_cancelled)
    {
        result = attempt_result::abandoned;
        m_may_have_run = true;
    }
    else if (state == exchange_state::deadline_passed)
    {
        m_may_have_run = m_may_have_run || m_was_sent;
        outcome = attempt_outcome::timed_out;
        result = attempt_result::late;
    }
    else if (state == exchange_state::failed)
    {
        outcome = attempt_outcome::unreachable;
        const bool is_unsent = exchange.known_verdict() == verdict::not_run;
        result = !is_unsent ? attempt_result::broken
                 : m_connect_error == connect_error::no_path
                     ? attempt_result::no_path
                     : attempt_result::not_reached;
        m_may_have_run = m_may_have_run || !is_unsent;
    }
    else if (platform::states_not_run(exchange.head()))
    {
        outcome = attempt_outcome::rejected;
        result = attempt_result::not_run;
    }
    else
    {
        m_may_have_run = true;
        record_prefill_time(server, exchange.head(),
                            monotonic::now() - sent_at);
        record_first_event(exchange.head(), monotonic::now() - sent_at);
        result = co_await relay(exchange);
        if (exchange.rejected_response() != response_fault::none)
        {
            m_response_fault = exchange.rejected_response();
        }
        if (result == attempt_result::broken)
        {
            outcome = attempt_outcome::unreachable;
        }
        else if (result == attempt_result::late && !m_first_event_at &&
                 !m_response.has_begun())
        {
            // A body without an end. Streams may be as long as their clients
            // wait.
            outcome = attempt_outcome::timed_out;
        }
        else if (exchange.head().status >= http_status::first_server_error)
        {
            outcome = attempt_outcome::failed;
            m_seen.is_failure = true;
        }
    }
    record_version_result(server, result, monotonic::now() - sent_at);
    exchange.cancel();
    m_exchange = nullptr;
    const bool is_abandoned =
        m_was_sent &&
        (result == attempt_result::abandoned || result == attempt_result::late);
    if (suspect && is_abandoned)
    {
        // It may still crash the upstream, so it stays in flight until probed.
        m_state.crashes.start_delayed_probe(server, *suspect);
    }
    else if (suspect)
    {
        m_state.suspects.end(suspect->fingerprint, server.id);
    }
    m_state.choice.end_attempt(server.incarnation(),
                               wanted.headroom ? wanted.headroom->memory_tokens
                                               : 0);
    // Without a path, nothing is known about the upstream.
    if (result != attempt_result::abandoned &&
        result != attempt_result::no_path)
    {
        m_state.choice.record_outcome(server.incarnation(), outcome,
                                      gateway_state::now());
    }
    co_return result;
}

std::string request_flow::serialized_head(const server_entry& server) const
{
    std::string bytes;
    write_start_line(bytes, m_request.head);
    const auto& fields = m_request.head.fields;
    for (const auto& field : fields.fields)
    {
        const bool is_length = same_name(field.name, "Content-Length");
        const bool is_replaced = last_event() && m_response.has_begun() &&
                                 same_name(field.name, "Last-Event-Id");
        if (is_length || is_replaced || is_hop_by_hop(fields, field.name) ||
            platform::is_stripped(field.name))
        {
            continue;
        }
        write_field(bytes, field.name, field.value);
    }
    if (!m_request.body.empty() || fields.find("Content-Length") != nullptr ||
        fields.find("Transfer-Encoding") != nullptr)
    {
        write_field(bytes, "Content-Length",
                    std::to_string(m_request.body.size()));
    }
    platform::server_fields own;
    own.deadline = std::max(time_left(), milliseconds(1));
    own.expected_server = server.id;
    if (m_tenant != nullptr)
    {
        own.tenant = m_tenant->name;
    }
    if (m_service->is_engine)
    {
        own.priority = rank();
    }
    if (m_response.has_begun())
    {
        own.last_event = last_event();
        own.expected_weights = m_weights_version;
    }
    platform::write_server_fields(bytes, own);
    write_head_end(bytes);
    return bytes;
}

} // namespace daleshelf
