#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <platform/request_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr int max_failed_connects = 3;

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

// Steps 1 to 6: validates the request; finds its route, workspace, version,
// quota and share.
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
    if (m_state.is_stopping)
    {
        m_deadline = std::min(m_deadline, m_state.responses_due);
    }
    const bool is_rejected = co_await reject_if_outlasting();
    if (is_rejected)
    {
        co_return false;
    }
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
    // 6. The share of the workspace, if slots are short.
    const bool is_within_share = co_await check_share();
    if (!is_within_share)
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

// Step 7: attempts upstreams, one after the other.
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
        auto target = co_await take_target(wanted);
        if (!target)
        {
            co_await finish_failed(attempt_result::not_run);
            co_return;
        }
        // A wait for a permit can have used up the time.
        if (time_left().count() <= 0)
        {
            m_state.limits.refund(std::move(target->permit));
            co_await finish_failed(attempt_result::late);
            co_return;
        }
        const bool is_outlasting = co_await reject_if_outlasting();
        if (is_outlasting)
        {
            m_state.limits.refund(std::move(target->permit));
            co_return;
        }
        const auto chosen = target->server;
        if (const auto wait = retry_delay_if_too_late(chosen, wanted))
        {
            m_state.limits.refund(std::move(target->permit));
            refund_quota();
            co_await reject(http_status::unavailable, "too_late",
                            return_delay(*wait));
            co_return;
        }
        m_tried.insert(chosen.id);
        m_server_hall = chosen.hall.value();
        log_resumption(chosen);
        const auto sent_at = monotonic::now();
        const auto result = co_await attempt(*target, wanted);
        log_attempt(chosen, result);
        record_attempt(chosen, result, sent_at);
        record_completion_time(result, monotonic::now() - sent_at);
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

void request_flow::refund_quota()
{
    if (m_tenant != nullptr)
    {
        m_state.quota.shared().refund(m_tenant->name, m_quota_cost);
    }
}

// Step 8: whether the request can be sent to another upstream.
bool request_flow::can_retry(attempt_result result)
{
    if (result == attempt_result::late || result == attempt_result::no_path ||
        time_left().count() <= 0)
    {
        return false;
    }
    if (m_reserved)
    {
        return true;
    }
    if (result == attempt_result::not_reached)
    {
        // Nothing was delivered, so this does not consume the retry budget.
        return ++m_failed_connects < max_failed_connects;
    }
    return can_run_again() && m_state.retries.try_take(m_service->name);
}

// @return whether a further attempt is allowed, the retry budget aside
bool request_flow::can_run_again() const
{
    const bool is_repeatable =
        !m_may_have_run ||
        (allows_repeats(*m_route) && m_attempts < m_route->max_attempts);
    if (!is_repeatable || m_attempts > m_route->max_attempts)
    {
        return false;
    }
    if (m_response.has_begun() &&
        !(last_event() && m_state.settings.resumes_streams))
    {
        return false;
    }
    return m_state.settings.retries_failures;
}

// Step 9: sends the final response of a request that no attempt has answered.
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
