#include "service_calls.hpp"

#include "caller_format.hpp"
#include "node_state.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <requests/retry_decision.hpp>
#include <routing/router.hpp>
#include <telemetry/log.hpp>
#include <telemetry/span_exporter.hpp>
#include <upstreams/attempt_status.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_kept_answers = 2000;
constexpr std::chrono::milliseconds overload_pause{1000};
constexpr absl::Duration failure_pause = absl::Seconds(1);

http_client_request to_client_request(const service_request& request,
                                      const std::string& url,
                                      std::int64_t attempt)
{
    http_client_request sent;
    sent.method = request.method;
    sent.url = url + request.path;
    sent.body = request.body;
    sent.headers = {
        {"X-Request-Id", request.id.value()},
        {"X-Attempt-Id", request.id.value() + "." + std::to_string(attempt)}};
    if (!request.content_type.empty())
    {
        sent.headers.push_back({"Content-Type", request.content_type});
    }
    const auto left =
        absl::ToChronoMilliseconds(request.deadline - absl::Now());
    sent.timeout = std::max(left, std::chrono::milliseconds(1));
    if (request.repeats == repeatability::once_only)
    {
        sent.reuse = connection_reuse::forbidden;
    }
    return sent;
}

} // namespace

struct service_calls::live_call
{
    service_request request;
    answer_handler on_answer;
    std::int64_t attempts = 0;
    bool was_ambiguous = false; ///< an attempt may have run
    absl::flat_hash_set<upstream_id> tried;
    http_response response;
    span hop;
};

service_calls::service_calls(node_state& node, http_client& client,
                             span_exporter& spans)
    : m_node(node), m_client(client), m_spans(spans)
{
}

void service_calls::start(const service_request& request,
                          answer_handler on_answer)
{
    ++m_in_flight;
    const auto config = m_node.current_configuration();
    m_retries.count_first_attempt(config->policy().retry_budget_percent);
    auto call = std::make_shared<live_call>();
    call->request = request;
    call->on_answer = std::move(on_answer);
    if (request.has_key)
    {
        absl::MutexLock lock(&m_mutex);
        m_kept[request.id].workspace = request.workspace;
        m_kept_order.push_back(request.id);
        while (m_kept_order.size() > most_kept_answers)
        {
            m_kept.erase(m_kept_order.front());
            m_kept_order.pop_front();
        }
    }
    attempt(call);
}

void service_calls::attempt(const call_ptr& call)
{
    const auto config = m_node.current_configuration();
    const auto& request = call->request;
    const auto* service =
        config->find_service(request.service, request.workspace);
    routing_choice choice;
    if (service != nullptr)
    {
        routing_request wanted;
        wanted.prefix = stable_hash(request.path);
        wanted.now = absl::Now();
        wanted.strategy = config->policy().routing;
        wanted.excluded = call->tried;
        choice = m_node.routes().choose(service->upstreams, wanted);
    }
    const auto run =
        call->was_ambiguous ? verdict::may_have_run : verdict::not_run;
    if (choice.what == routing_choice::outcome::overloaded)
    {
        answer(call,
               to_error_response({http_status::too_many_requests, "overloaded",
                                  "all upstreams are at their limits", run,
                                  overload_pause}));
        return;
    }
    if (choice.what == routing_choice::outcome::none)
    {
        answer(call, to_error_response({http_status::unavailable, "no_upstream",
                                        "no upstream serves this now", run,
                                        overload_pause}));
        return;
    }
    ++call->attempts;
    call->tried.insert(choice.upstream->id);
    send(call, choice.upstream->url, choice.upstream->id);
}

void service_calls::send(const call_ptr& call, const std::string& url,
                         const upstream_id& upstream)
{
    auto sent = to_client_request(call->request, url, call->attempts);
    call->response = {};
    call->hop.name = "upstream";
    call->hop.context = call->request.context.child();
    call->hop.parent_span_id = call->request.context.span_id;
    call->hop.start = absl::Now();
    call->hop.attributes = {{"upstream", upstream.value()}};
    sent.headers.push_back({"traceparent", call->hop.context.to_header()});
    http_transfer_handlers handlers;
    handlers.on_head = [call](const http_response& head)
    { call->response = head; };
    handlers.on_body = [call](std::string_view piece)
    { call->response.body += piece; };
    handlers.on_done =
        [this, call, upstream](const http_transfer_result& transfer)
    { on_done(call, upstream, transfer); };
    m_client.start(std::move(sent), std::move(handlers));
}

void service_calls::on_done(const call_ptr& call, const upstream_id& upstream,
                            const http_transfer_result& transfer)
{
    m_node.loads().end(upstream);
    call->hop.end = absl::Now();
    m_spans.add(call->hop);
    const auto result =
        to_attempt_result(transfer, call->response, call->response.body);
    using outcome = attempt_result::outcome;
    if (result.what == outcome::completed || result.what == outcome::rejected)
    {
        pass_on(call, result.has_not_run() ? verdict::not_run : verdict::ran);
        return;
    }
    m_node.loads().set_failed(upstream, absl::Now() + failure_pause);
    log(events::upstream_failed, {{"upstream", upstream.value()},
                                  {"request", call->request.id.value()},
                                  {"status", result.status},
                                  {"cause", result.message}});
    call->was_ambiguous = call->was_ambiguous || !result.has_not_run();
    const auto run =
        call->was_ambiguous ? verdict::may_have_run : verdict::not_run;
    const auto& policy = m_node.current_configuration()->policy();
    const bool may_retry =
        call->attempts < policy.max_attempts && m_retries.try_take();
    const auto error =
        find_retry_obstacle(result, call->request.repeats, run, may_retry);
    if (!error)
    {
        attempt(call);
        return;
    }
    if (transfer.is_complete())
    {
        pass_on(call, run);
        return;
    }
    answer(call, to_error_response(*error));
}

/// Hands the service's own answer to the caller, an error too.
void service_calls::pass_on(const call_ptr& call, verdict run)
{
    http_response passed;
    passed.status = call->response.status;
    passed.body = std::move(call->response.body);
    passed.content_type = call->response.content_type;
    if (passed.status >= http_status::first_client_error)
    {
        passed.headers.push_back({"Daleshelf-Verdict", to_string(run)});
    }
    answer(call, std::move(passed));
}

void service_calls::answer(const call_ptr& call, http_response response)
{
    response.headers.push_back(
        {"Daleshelf-Request-Id", call->request.id.value()});
    --m_in_flight;
    if (call->request.has_key)
    {
        keep_answer(call, response);
    }
    call->on_answer(std::move(response));
}

void service_calls::keep_answer(const call_ptr& call,
                                const http_response& response)
{
    std::vector<std::function<void(std::optional<http_response>)>> waiting;
    {
        absl::MutexLock lock(&m_mutex);
        auto& kept = m_kept[call->request.id];
        kept.response = response;
        waiting.swap(kept.waiting);
    }
    for (const auto& handler : waiting)
    {
        handler(response);
    }
}

void service_calls::find_answer(
    const request_id& id, const workspace_id& user,
    std::function<void(std::optional<http_response>)> on_answer)
{
    std::optional<http_response> response;
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_kept.find(id);
        const bool is_known =
            found != m_kept.end() && found->second.workspace == user;
        if (is_known && !found->second.response)
        {
            found->second.waiting.push_back(std::move(on_answer));
            return;
        }
        if (is_known)
        {
            response = found->second.response;
        }
    }
    on_answer(std::move(response));
}

} // namespace daleshelf
