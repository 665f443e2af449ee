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

constexpr int max_failed_connects = 3;
constexpr int priorities_per_tenant = 3;
constexpr int lowest_priority = 9;

// Requests that arrive later than this after the stop are rejected.
constexpr milliseconds stop_accept_window{2900};

// Retry-After of requests that this host cannot route.
constexpr milliseconds retry_when_unconfigured{1000};

} // namespace

request_flow::request_flow(gateway_state& state, client_response& response,
                           client_request request)
    : m_state(state)
    , m_response(response)
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

// Steps 1 to 5: validates the request; finds its route, workspace, version and
// quota.
awaitable<bool> request_flow::admit()
{
    // 1. Without an id, responses cannot be matched to the request.
    if (!platform::has_valid_id(m_request.head.fields))
    {
        co_await fail(http_status::bad_request, "no_request_id");
        co_return false;
    }
    if (m_routes == nullptr)
    {
        co_await reject(http_status::unavailable, "no_configuration",
                        retry_when_unconfigured);
        co_return false;
    }
    if (is_past_stop_window())
    {
        co_await reject(http_status::unavailable, "stopping", retry_when_full);
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
    // 3. The workspace.
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
        co_await reject(http_status::unavailable, "unknown_service",
                        retry_when_unconfigured);
        co_return false;
    }
    // 4. The version, if it resumes a stream.
    const bool is_servable = co_await pin_stream_version();
    if (!is_servable)
    {
        co_return false;
    }
    // 5. The quota.
    const bool is_within_quota = co_await take_quota();
    if (!is_within_quota)
    {
        co_return false;
    }
    m_state.retries.count_request(m_service->name);
    co_return true;
}

awaitable<bool> request_flow::take_quota()
{
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
                absl::ToChronoMilliseconds(m_state.quota.shared().refill_time(
                    m_tenant->name, m_quota_cost));
            co_await reject(
                http_status::too_many_requests, "quota",
                std::clamp(wait, milliseconds(m_state.settings.quota_retry_ms),
                           max_retry_after));
            co_return false;
        }
        if (m_is_cancelled)
        {
            refund_quota();
            log_outcome("client_left");
            co_return false;
        }
    }
    co_return true;
}

// Step 6: attempts upstreams, one after the other.
awaitable<void> request_flow::try_servers()
{
    while (true)
    {
        identify_suspect();
        const bool is_finished = co_await reject_if_poison();
        if (is_finished)
        {
            co_return;
        }
        const bool is_rejected = co_await reject_if_part_is_poison();
        if (is_rejected)
        {
            co_return;
        }
        auto wanted = make_choice_request();
        auto target = co_await choose_permitted_server(wanted);
        if (!target)
        {
            co_await finish_failed(attempt_result::not_run);
            co_return;
        }
        const auto chosen = target->server;
        if (const auto wait = retry_delay_if_too_late(chosen, wanted))
        {
            m_state.limits.refund(std::move(target->permit));
            refund_quota();
            co_await reject(
                http_status::unavailable, "too_late",
                std::clamp(*wait, retry_when_full, max_retry_after));
            co_return;
        }
        m_tried.insert(chosen.id);
        m_server_hall = chosen.hall.value();
        log_resumption(chosen);
        const auto sent_at = monotonic::now();
        const auto result = co_await attempt(*target, wanted);
        log_attempt(chosen, result);
        record_attempt(chosen, result, sent_at);
        if (result == attempt_result::broken ||
            result == attempt_result::not_reached)
        {
            m_broken_halls.insert(chosen.hall);
        }
        if (result == attempt_result::answered ||
            result == attempt_result::abandoned)
        {
            log_outcome(result == attempt_result::answered ? "answered"
                                                           : "client_left");
            co_return;
        }
        if (!can_retry(result))
        {
            co_await finish_failed(result);
            co_return;
        }
    }
}

server_request request_flow::make_server_request(permitted_server& target) const
{
    server_request sent(std::move(target.permit), target.server);
    sent.id = m_facts.id.value();
    sent.serialize = [this, server = target.server]
    {
        return m_state.servers.has_restarted(server)
                   ? std::string()
                   : serialized_request(server);
    };
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
        m_may_have_run = true;
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
        if (result == attempt_result::broken)
        {
            outcome = attempt_outcome::unreachable;
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
    m_state.choice.end_attempt(server.incarnation());
    // Without a path, nothing is known about the upstream.
    if (result != attempt_result::abandoned &&
        result != attempt_result::no_path)
    {
        m_state.choice.record_outcome(server.incarnation(), outcome,
                                      gateway_state::now());
    }
    co_return result;
}

void request_flow::refund_quota()
{
    if (m_tenant != nullptr)
    {
        m_state.quota.shared().refund(m_tenant->name, m_quota_cost);
    }
}

// Step 7: whether the request can be sent to another upstream.
bool request_flow::can_retry(attempt_result result)
{
    if (result == attempt_result::late || result == attempt_result::no_path ||
        time_left().count() <= 0)
    {
        return false;
    }
    if (result == attempt_result::not_reached)
    {
        // Nothing was delivered, so this does not consume the retry budget.
        return ++m_failed_connects < max_failed_connects;
    }
    const bool can_run_again =
        !m_may_have_run ||
        (allows_repeats(*m_route) && m_attempts < m_route->max_attempts);
    if (!can_run_again || m_attempts > m_route->max_attempts)
    {
        return false;
    }
    if (m_response.has_begun() &&
        !(m_last_event && m_state.settings.resumes_streams))
    {
        return false;
    }
    return m_state.settings.retries_failures &&
           m_state.retries.try_take(m_service->name);
}

// Step 8: sends the final response of a request that no attempt has answered.
awaitable<void> request_flow::finish_failed(attempt_result result)
{
    if (m_response.has_begun())
    {
        log_outcome("broken_off");
        m_response.abort();
        co_return;
    }
    if (!m_may_have_run)
    {
        co_await reject_unserved(result);
        co_return;
    }
    if (m_error_response)
    {
        log_outcome("server_error");
        co_await m_response.send_complete(m_error_response->first,
                                          std::move(m_error_response->second));
        co_return;
    }
    const bool is_late = result == attempt_result::late;
    co_await fail(is_late ? http_status::gateway_timeout
                          : http_status::bad_gateway,
                  is_late ? "deadline" : "may_have_run");
}

// Rejects a request that has not run and never will.
awaitable<void> request_flow::reject(int status, std::string_view reason,
                                     std::optional<milliseconds> retry_after)
{
    co_await send_local_response(events::request_refused, status, reason,
                                 retry_after);
}

// Fails a request that may have run, or that a retry cannot help.
awaitable<void> request_flow::fail(int status, std::string_view reason)
{
    co_await send_local_response(events::request_failed, status, reason,
                                 std::nullopt);
}

awaitable<void>
request_flow::send_local_response(const log_event& event, int status,
                                  std::string_view reason,
                                  std::optional<milliseconds> retry_after)
{
    count_outcome(reason);
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
    platform::write_rejection_fields(extra, m_facts.id.value(), retry_after);
    co_await m_response.send_local(status, extra);
}

std::string request_flow::serialized_request(const server_entry& server) const
{
    std::string bytes;
    write_start_line(bytes, m_request.head);
    const auto& fields = m_request.head.fields;
    for (const auto& field : fields.fields)
    {
        const bool is_length = same_name(field.name, "Content-Length");
        const bool is_replaced = m_last_event && m_response.has_begun() &&
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
        const auto tenant_priority =
            m_tenant == nullptr ? 0 : m_tenant->priority;
        own.priority =
            std::min(lowest_priority, tenant_priority * priorities_per_tenant +
                                          m_route->priority);
    }
    if (m_response.has_begun())
    {
        own.last_event = m_last_event;
        own.expected_weights = m_weights_version;
    }
    platform::write_server_fields(bytes, own);
    write_head_end(bytes);
    bytes += m_request.body;
    return bytes;
}

// @return whether this process may exit before the request completes; by then
// the load balancer has had time to route requests to other hosts
bool request_flow::is_past_stop_window() const
{
    return m_state.is_stopping &&
           m_request.received - m_state.stopping_since > stop_accept_window;
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

void request_flow::count_usage()
{
    if (!m_is_usage_counted && m_tenant != nullptr)
    {
        m_is_usage_counted = true;
        m_state.usage.count(m_tenant->name, m_state.time_of_day());
    }
}

} // namespace daleshelf
