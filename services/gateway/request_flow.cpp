#include "request_flow.hpp"

#include "server_notices.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <platform/request_format.hpp>
#include <telemetry/log.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

constexpr int most_failed_connects = 3;
constexpr int priorities_per_tenant = 3;
constexpr int lowest_priority = 9;

// A stopping process begins nothing later than this after it was told.
constexpr milliseconds last_begin{2900};

// When a client may come back, by why it was refused.
constexpr milliseconds retry_when_unconfigured{1000};

} // namespace

request_flow::request_flow(gateway_state& state, client_answer& answer,
                           client_request request)
    : m_state(state)
    , m_answer(answer)
    , m_request(std::move(request))
    , m_facts(platform::read_facts(m_request.head.fields))
    , m_routes(state.routes)
{
    ++m_state.requests_in_flight;
}

request_flow::~request_flow()
{
    --m_state.requests_in_flight;
}

void request_flow::cancel()
{
    m_is_cancelled = true;
    if (m_exchange != nullptr)
    {
        m_exchange->cancel();
    }
}

awaitable<void> request_flow::run()
{
    const bool is_admitted = co_await admit();
    if (is_admitted)
    {
        co_await try_servers();
    }
}

// Steps 1 to 4: what is asked, by whom, and whether it is within the quota.
awaitable<bool> request_flow::admit()
{
    // 1. A request without an id cannot be told from others.
    if (!platform::has_valid_id(m_request.head.fields))
    {
        co_await fail(http_status::bad_request, "no_request_id");
        co_return false;
    }
    if (m_routes == nullptr)
    {
        co_await refuse(http_status::unavailable, "no_configuration",
                        retry_when_unconfigured);
        co_return false;
    }
    if (is_too_late_to_begin())
    {
        co_await refuse(http_status::unavailable, "stopping", retry_when_full);
        co_return false;
    }
    // 2. The route.
    const auto* host = m_request.head.fields.find("Host");
    m_route = m_routes->find_route(host == nullptr ? "" : *host,
                                   m_request.head.target);
    if (m_route == nullptr)
    {
        co_await fail(http_status::not_found, "no_route");
        co_return false;
    }
    // 3. The tenant.
    if (!m_route->is_public && !m_routes->configuration().tenants.empty())
    {
        m_tenant = m_routes->find_tenant(m_facts.key);
        if (m_tenant == nullptr)
        {
            co_await fail(http_status::unauthorized, "unknown_key");
            co_return false;
        }
    }
    m_deadline =
        m_request.received +
        std::min(m_route->timeout, m_facts.deadline.value_or(m_route->timeout));
    const auto& target = route_table::pick_target(
        *m_route, absl::Uniform(m_state.random, 0.0, 1.0));
    m_service = m_routes->find_service(target);
    if (m_service == nullptr)
    {
        co_await refuse(http_status::unavailable, "unknown_service",
                        retry_when_unconfigured);
        co_return false;
    }
    // 4. The quota.
    if (m_tenant != nullptr)
    {
        const auto stated = m_facts.prompt_tokens + m_facts.max_output_tokens;
        const auto tokens = stated > 0 ? stated : m_tenant->default_tokens;
        m_quota_cost =
            m_tenant->counts_tokens ? static_cast<double>(tokens) : 1.0;
        auto verdict =
            co_await m_state.quota.take(m_tenant->name, m_quota_cost);
        m_quota_verdict = std::move(verdict.explanation);
        if (!verdict.is_within)
        {
            const auto wait =
                absl::ToChronoMilliseconds(m_state.quota.shared().time_to_earn(
                    m_tenant->name, m_quota_cost));
            co_await refuse(
                http_status::too_many_requests, "quota",
                std::clamp(wait, milliseconds(m_state.settings.quota_retry_ms),
                           longest_retry));
            co_return false;
        }
        if (m_is_cancelled)
        {
            refund_quota();
            log_end("client_left");
            co_return false;
        }
    }
    m_state.retries.count_request(m_service->name);
    co_return true;
}

// Step 5: servers, one after the other.
awaitable<void> request_flow::try_servers()
{
    while (true)
    {
        recognise();
        const bool is_stopped = co_await is_stopped_as_poison();
        if (is_stopped)
        {
            co_return;
        }
        auto wanted = next_choice();
        auto target = co_await choose_permitted(wanted);
        if (!target)
        {
            co_await give_up(attempt_end::not_run);
            co_return;
        }
        const auto chosen = target->server;
        if (const auto wait = hopeless_for(chosen, wanted))
        {
            m_state.limits.refund(std::move(target->permit));
            refund_quota();
            co_await refuse(http_status::unavailable, "too_late",
                            std::clamp(*wait, retry_when_full, longest_retry));
            co_return;
        }
        m_tried.insert(chosen.id);
        m_server_hall = chosen.hall.value();
        const auto sent_at = monotonic::now();
        const auto end = co_await attempt(*target, wanted);
        log_attempt(chosen, end);
        note_attempt(chosen, end, sent_at);
        if (end == attempt_end::broken || end == attempt_end::not_reached)
        {
            m_broken_halls.insert(chosen.hall);
        }
        if (end == attempt_end::answered || end == attempt_end::abandoned)
        {
            log_end(end == attempt_end::answered ? "answered" : "client_left");
            co_return;
        }
        if (!may_try_again(end))
        {
            co_await give_up(end);
            co_return;
        }
    }
}

server_request request_flow::request_to(permitted_server& target) const
{
    server_request sent(std::move(target.permit), target.server);
    sent.id = m_facts.id.value();
    sent.bytes = bytes_for(target.server);
    sent.is_repeatable = allows_repeats(*m_route);
    sent.has_no_answer_body = m_request.head.method == "HEAD";
    sent.deadline = m_deadline;
    return sent;
}

awaitable<request_flow::attempt_end>
request_flow::attempt(permitted_server& target, const choice_request& wanted)
{
    const auto& server = target.server;
    server_exchange exchange(m_state.pool, request_to(target));
    m_exchange = &exchange;
    m_expected_first_ms =
        m_service->is_engine && m_state.rollouts.is_watching(m_service->name)
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
    count_work();
    const auto sent_at = monotonic::now();
    auto end = attempt_end::abandoned;
    auto state = exchange_state::failed;
    if (!m_is_cancelled)
    {
        state = co_await exchange.start();
    }
    heed(m_state, server, exchange.notice(), gateway_state::to_time(sent_at));
    m_state.choice.end_prefill(server.incarnation(), m_work.expected_tokens);
    m_was_sent = exchange.known_verdict() != verdict::not_run;
    if (m_was_sent)
    {
        ++m_attempts;
        m_state.rollouts.note_sent(server.service, server.version);
    }
    else
    {
        m_state.limits.refund(exchange.take_permit());
    }
    auto outcome = attempt_outcome::succeeded;
    if (m_is_cancelled)
    {
        end = attempt_end::abandoned;
        m_may_have_run = true;
    }
    else if (state == exchange_state::late)
    {
        m_may_have_run = true;
        outcome = attempt_outcome::timed_out;
        end = attempt_end::late;
    }
    else if (state == exchange_state::failed)
    {
        outcome = attempt_outcome::unreachable;
        const bool is_unsent = exchange.known_verdict() == verdict::not_run;
        end = is_unsent ? attempt_end::not_reached : attempt_end::broken;
        m_may_have_run = m_may_have_run || !is_unsent;
    }
    else if (platform::states_not_run(exchange.head()))
    {
        outcome = attempt_outcome::rejected;
        end = attempt_end::not_run;
    }
    else
    {
        m_may_have_run = true;
        learn_reading(server, exchange.head(), monotonic::now() - sent_at);
        note_first(exchange.head(), monotonic::now() - sent_at);
        end = co_await relay(exchange);
        if (end == attempt_end::broken)
        {
            outcome = attempt_outcome::unreachable;
        }
        else if (exchange.head().status >= http_status::first_server_error)
        {
            outcome = attempt_outcome::failed;
            m_seen.is_failure = true;
        }
    }
    note_version(server, end, monotonic::now() - sent_at);
    exchange.cancel();
    m_exchange = nullptr;
    const bool is_let_go = m_was_sent && (end == attempt_end::abandoned ||
                                          end == attempt_end::late);
    if (suspect && is_let_go)
    {
        // It may still end the server: nobody else sends it meanwhile.
        m_state.ends.ask_later(server, *suspect);
    }
    else if (suspect)
    {
        m_state.suspects.end(suspect->fingerprint, server.id);
    }
    m_state.choice.end_attempt(server.incarnation());
    if (end != attempt_end::abandoned)
    {
        m_state.choice.record_outcome(server.incarnation(), outcome,
                                      gateway_state::now());
    }
    co_return end;
}

void request_flow::refund_quota()
{
    if (m_tenant != nullptr)
    {
        m_state.quota.shared().refund(m_tenant->name, m_quota_cost);
    }
}

// Step 6: whether another server may get the request.
bool request_flow::may_try_again(attempt_end end)
{
    if (end == attempt_end::late || time_left().count() <= 0)
    {
        return false;
    }
    if (end == attempt_end::not_reached)
    {
        // Nothing has arrived anywhere: no retry in the budget's sense.
        return ++m_failed_connects < most_failed_connects;
    }
    const bool may_run_again =
        !m_may_have_run ||
        (allows_repeats(*m_route) && m_attempts < m_route->max_attempts);
    if (!may_run_again || m_attempts > m_route->max_attempts)
    {
        return false;
    }
    if (m_answer.has_begun() &&
        !(m_last_event && m_state.settings.resumes_streams))
    {
        return false;
    }
    return m_state.settings.retries_failures &&
           m_state.retries.try_take(m_service->name);
}

// Step 7: the final answer, at once.
awaitable<void> request_flow::give_up(attempt_end end)
{
    if (m_answer.has_begun())
    {
        log_end("broken_off");
        m_answer.break_off();
        co_return;
    }
    if (!m_may_have_run)
    {
        co_await refuse_unserved(end);
        co_return;
    }
    if (m_error_answer)
    {
        log_end("server_error");
        co_await m_answer.send_whole(m_error_answer->first,
                                     std::move(m_error_answer->second));
        co_return;
    }
    const bool is_late = end == attempt_end::late;
    co_await fail(is_late ? http_status::gateway_timeout
                          : http_status::bad_gateway,
                  is_late ? "deadline" : "may_have_run");
}

// The request has not run and never will.
awaitable<void> request_flow::refuse(int status, std::string_view reason,
                                     std::optional<milliseconds> retry_after)
{
    co_await answer_own(events::request_refused, status, reason, retry_after);
}

// Nothing is promised of whether the request has run, or coming back is no use.
awaitable<void> request_flow::fail(int status, std::string_view reason)
{
    co_await answer_own(events::request_failed, status, reason, std::nullopt);
}

awaitable<void>
request_flow::answer_own(const log_event& event, int status,
                         std::string_view reason,
                         std::optional<milliseconds> retry_after)
{
    count_end(reason);
    std::vector<log_field> fields{
        {"id", m_facts.id.value()},
        {"status", std::to_string(status)},
        {"reason", std::string(reason)},
        {"route", m_route == nullptr ? "" : m_route->name},
        {"tenant", m_tenant == nullptr ? "" : m_tenant->name.value()},
        {"attempts", std::to_string(m_attempts)},
        {"quota", m_quota_verdict},
        {"configuration",
         std::to_string(m_routes ? m_routes->configuration().version : 0)}};
    if (!m_passed_over.is_empty())
    {
        fields.emplace_back("passed_over", m_passed_over.names());
    }
    log(event, fields);
    std::string extra;
    platform::write_refusal_fields(extra, m_facts.id.value(), retry_after);
    co_await m_answer.send_own(status, extra);
}

std::string request_flow::bytes_for(const server_entry& server) const
{
    std::string bytes;
    write_start_line(bytes, m_request.head);
    const auto& fields = m_request.head.fields;
    for (const auto& field : fields.fields)
    {
        const bool is_length = same_name(field.name, "Content-Length");
        const bool is_replaced = m_last_event && m_answer.has_begun() &&
                                 same_name(field.name, "Last-Event-Id");
        if (is_length || is_replaced || is_hop_by_hop(fields, field.name) ||
            platform::is_withheld(field.name))
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
        const auto tenant_priority =
            m_tenant == nullptr ? 0 : m_tenant->priority;
        own.priority =
            std::min(lowest_priority, tenant_priority * priorities_per_tenant +
                                          m_route->priority);
    }
    if (m_answer.has_begun())
    {
        own.last_event = m_last_event;
        own.expected_weights = m_weights;
    }
    platform::write_server_fields(bytes, own);
    write_head_end(bytes);
    bytes += m_request.body;
    return bytes;
}

// @return whether this process may end before the request could: the balancer
// has had the time to choose others by now
bool request_flow::is_too_late_to_begin() const
{
    return m_state.is_stopping &&
           m_request.received - m_state.stopping_since > last_begin;
}

milliseconds request_flow::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline -
                                                    monotonic::now());
}

milliseconds request_flow::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(monotonic::now() -
                                                    m_request.received);
}

void request_flow::count_begun()
{
    if (!m_was_counted && m_tenant != nullptr)
    {
        m_was_counted = true;
        m_state.usage.count(m_tenant->name, m_state.time_of_day());
    }
}

} // namespace daleshelf
