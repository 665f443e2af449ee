#include "caller_api.hpp"

#include "caller_format.hpp"
#include "claim_service.hpp"
#include "freshness_gate.hpp"
#include "http_sinks.hpp"
#include "node_state.hpp"
#include "replication_service.hpp"
#include "request_service.hpp"
#include "service_calls.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <base/request_error.hpp>
#include <http/http_exchange.hpp>
#include <optional>
#include <requests/host_choice.hpp>
#include <routing/router.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds short_pause{1000};
constexpr std::chrono::milliseconds claim_pause{2000};
constexpr absl::Duration longest_claim_wait = absl::Seconds(3);
constexpr std::size_t random_id_bytes = 4;
constexpr std::int64_t longest_deadline_ms = 86400000;

request_error bad_request(const std::string& message)
{
    return {http_status::bad_request, "bad_request", message, verdict::not_run};
}

request_error not_found(const std::string& message)
{
    return {http_status::not_found, "not_found", message, verdict::not_run};
}

std::int64_t read_priority(const http_request& request)
{
    const auto value = request.header("daleshelf-priority");
    if (value.empty() || value == "normal")
    {
        return 0;
    }
    if (value == "high")
    {
        return 1;
    }
    if (value == "low")
    {
        return -1;
    }
    throw bad_request("header Daleshelf-Priority must be high, normal or low");
}

absl::Time read_deadline(const http_request& request,
                         std::chrono::milliseconds fallback)
{
    const auto value = request.header("daleshelf-deadline-ms");
    std::int64_t milliseconds = fallback.count();
    const bool is_given = !value.empty();
    if (is_given && (!absl::SimpleAtoi(value, &milliseconds) ||
                     milliseconds < 1 || milliseconds > longest_deadline_ms))
    {
        throw bad_request("header Daleshelf-Deadline-Ms must be a whole number "
                          "of milliseconds from 1 to 86400000");
    }
    return absl::Now() + absl::Milliseconds(milliseconds);
}

repeatability read_repeatability(const http_request& request,
                                 repeatability fallback)
{
    const auto value = request.header("daleshelf-repeatable");
    if (value.empty())
    {
        return fallback;
    }
    if (value == "true")
    {
        return repeatability::repeatable;
    }
    if (value == "false")
    {
        return repeatability::once_only;
    }
    throw bad_request("header Daleshelf-Repeatable must be true or false");
}

std::string read_prompt(const boost::json::object& body, generation_form form)
{
    if (form == generation_form::completion)
    {
        return require_string(body, "prompt");
    }
    const auto* messages = find_array(body, "messages");
    if (messages == nullptr || messages->empty())
    {
        throw json_error("field 'messages' must be given, as an array with at "
                         "least one message");
    }
    std::string prompt;
    for (const auto& entry : *messages)
    {
        if (!entry.is_object())
        {
            throw json_error("field 'messages' must hold objects");
        }
        const auto& message = entry.get_object();
        absl::StrAppend(&prompt, require_string(message, "role"), ": ",
                        require_string(message, "content"), "\n");
    }
    return prompt;
}

std::string query_text(const http_request& request)
{
    std::string text;
    for (const auto& [name, value] : request.query)
    {
        absl::StrAppend(&text, text.empty() ? "?" : "&", url_encode(name), "=",
                        url_encode(value));
    }
    return text;
}

claim_key claim_key_of(const workspace_id& user, const std::string& key)
{
    return claim_key(sha256_hex(user.value() + "\n" + key));
}

token_position read_last_event(const http_request& request)
{
    std::int64_t last = 0;
    if (!absl::SimpleAtoi(request.header("last-event-id"), &last) || last < 0)
    {
        return token_position(0);
    }
    return token_position(last).next();
}

} // namespace

struct caller_api::route
{
    std::string_view method; ///< empty: any
    std::string_view path;
    bool is_prefix = false;
    answerer answer = nullptr;
};

caller_api::caller_api(node_state& node, request_service& requests,
                       replication_service& replication,
                       service_calls& services, claim_service& claims,
                       freshness_gate& gate, span_exporter& spans)
    : m_node(node)
    , m_requests(requests)
    , m_replication(replication)
    , m_services(services)
    , m_claims(claims)
    , m_gate(gate)
    , m_spans(spans)
    , m_incarnation_name(random_hex(random_id_bytes))
{
}

void caller_api::handle(const exchange_ptr& exchange)
{
    try
    {
        dispatch(exchange);
    }
    catch (const request_error& error)
    {
        log(events::request_refused, {{"code", error.code()},
                                      {"path", exchange->request().path},
                                      {"cause", error.what()}});
        exchange->respond(to_error_response(error));
    }
    catch (const json_error& error)
    {
        exchange->respond(to_error_response(bad_request(error.what())));
    }
}

void caller_api::dispatch(const exchange_ptr& exchange)
{
    static constexpr std::array routes{
        route{"POST", "/v1/completions", false, &caller_api::generate},
        route{"POST", "/v1/chat/completions", false, &caller_api::generate},
        route{"GET", "/v1/models", false, &caller_api::list_models},
        route{"GET", "/v1/requests/", true, &caller_api::fetch_answer},
        route{"", "/services/", true, &caller_api::call_service},
    };
    if (answer_without_key(exchange))
    {
        return;
    }
    const auto& request = exchange->request();
    const auto user = authenticate(request);
    for (const auto& entry : routes)
    {
        const absl::string_view path(entry.path.data(), entry.path.size());
        const bool is_path = entry.is_prefix
                                 ? absl::StartsWith(request.path, path)
                                 : request.path == entry.path;
        if (is_path && (entry.method.empty() || request.method == entry.method))
        {
            (this->*entry.answer)(exchange, user);
            return;
        }
    }
    throw not_found("no such path: " + request.method + " " + request.path);
}

bool caller_api::answer_without_key(const exchange_ptr& exchange)
{
    const auto& path = exchange->request().path;
    http_response response;
    if (path == "/healthz")
    {
        response.body = R"({"status":"alive"})";
    }
    else if (path == "/readyz")
    {
        const bool is_ready = m_node.is_current() && !m_node.is_draining();
        response.status = is_ready ? 200 : http_status::unavailable;
        response.body =
            is_ready ? R"({"status":"ready"})" : R"({"status":"not_ready"})";
    }
    else if (path == "/metrics")
    {
        response.content_type = "text/plain; version=0.0.4";
        response.body = m_node.metrics().render();
    }
    else
    {
        return false;
    }
    exchange->respond(std::move(response));
    return true;
}

workspace_entry caller_api::authenticate(const http_request& request) const
{
    const auto header = request.header("authorization");
    absl::string_view key = header;
    if (!absl::ConsumePrefix(&key, "Bearer "))
    {
        throw request_error(http_status::unauthorized, "unauthorized",
                            "a bearer key is needed", verdict::not_run);
    }
    const auto config = m_node.current_configuration();
    const auto* user =
        config->find_workspace_by_key(sha256_hex({key.data(), key.size()}));
    if (user == nullptr)
    {
        throw request_error(http_status::unauthorized, "unauthorized",
                            "the bearer key is not known", verdict::not_run);
    }
    return *user;
}

request_id caller_api::new_request_id()
{
    return make_request_id(m_node.host(), m_incarnation_name, ++m_last_id);
}

trace_context caller_api::begin_span(const exchange_ptr& exchange,
                                     const std::string& name)
{
    const auto& header = exchange->request().header("traceparent");
    const auto parent = trace_context::from_header(header);
    span hop;
    hop.name = name;
    hop.context = parent.child();
    hop.parent_span_id = header.empty() ? "" : parent.span_id;
    hop.start = absl::Now();
    hop.attributes = {{"host", m_node.host().value()}};
    auto& time = m_node.metrics().find_distribution(
        "daleshelf_request_seconds", "Time of a caller's request.",
        "path=\"" + name + "\"");
    exchange->set_close_handler(
        [this, hop, &time]() mutable
        {
            hop.end = absl::Now();
            time.observe(absl::ToDoubleSeconds(hop.end - hop.start));
            m_spans.add(hop);
        });
    return hop.context;
}

request_description caller_api::describe(const http_request& request,
                                         const workspace_entry& user)
{
    const auto config = m_node.current_configuration();
    const auto body = parse_object(request.body);
    request_description description;
    description.form = request.path == "/v1/chat/completions"
                           ? generation_form::chat
                           : generation_form::completion;
    description.deployment = require_string(body, "model");
    const auto* deployment =
        config->find_deployment(description.deployment, user.id);
    if (deployment == nullptr)
    {
        throw not_found("no model named '" + description.deployment + "'");
    }
    const auto prompt = read_prompt(body, description.form);
    description.id = new_request_id();
    description.workspace = user.id;
    description.engine_model = deployment->engine_model;
    description.body = request.body;
    description.prefix = prefix_hash(prompt);
    description.priority = read_priority(request);
    description.deadline =
        read_deadline(request, config->policy().default_deadline);
    description.repeats =
        read_repeatability(request, repeatability::repeatable);
    return description;
}

void caller_api::generate(const exchange_ptr& exchange,
                          const workspace_entry& user)
{
    const auto& request = exchange->request();
    if (!m_node.is_current())
    {
        throw request_error(http_status::unavailable, "not_ready",
                            "this host has no configuration yet",
                            verdict::not_run, short_pause);
    }
    auto description = describe(request, user);
    const bool is_stream =
        find_boolean(parse_object(request.body), "stream").value_or(false);
    description.traceparent = begin_span(exchange, request.path).to_header();
    const auto start = [this, exchange, is_stream, description]
    {
        std::shared_ptr<answer_sink> sink;
        if (is_stream)
        {
            sink = std::make_shared<stream_sink>(exchange, token_position(0));
        }
        else
        {
            sink = std::make_shared<whole_sink>(exchange);
        }
        m_gate.run([this, description, sink]
                   { m_requests.start(description, sink); });
    };
    run_claimed(exchange, user.id, description.id, description.deadline, start,
                [this, exchange, workspace = user.id](const request_id& winner)
                { send_answer_again(exchange, workspace, winner); });
}

/// Claims the request's idempotency key, if it has one.
/// @param on_won called if the request may run; at once if it has no key
/// @param on_lost called with the request that has the key
void caller_api::run_claimed(
    const exchange_ptr& exchange, const workspace_id& user,
    const request_id& id, absl::Time deadline,
    const std::function<void()>& on_won,
    const std::function<void(const request_id&)>& on_lost)
{
    const auto& request = exchange->request();
    const auto key = request.header("idempotency-key");
    if (key.empty())
    {
        on_won();
        return;
    }
    claim wanted;
    wanted.key = claim_key_of(user, key);
    wanted.request = id;
    wanted.body_digest =
        sha256_hex(request.method + " " + request.path + "\n" + request.body);
    wanted.time = absl::Now();
    const auto wait_end = std::min(deadline, absl::Now() + longest_claim_wait);
    m_claims.propose(
        wanted, wait_end,
        [exchange, on_won, on_lost](const claim_outcome& outcome)
        {
            using state = claim_outcome::state;
            if (outcome.decision == state::won)
            {
                on_won();
                return;
            }
            if (outcome.decision == state::lost)
            {
                on_lost(outcome.winner);
                return;
            }
            exchange->respond(
                outcome.decision == state::mismatch
                    ? to_error_response(
                          {http_status::unprocessable, "idempotency_key_reused",
                           "the key was used with another request",
                           verdict::not_run})
                    : to_error_response(
                          {http_status::unavailable, "claim_unavailable",
                           "whether the key was used cannot be told now",
                           verdict::not_run, claim_pause}));
        });
}

std::shared_ptr<answer_sink> caller_api::make_sink(const exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    const bool is_stream = request.header("accept") == "text/event-stream" ||
                           !request.header("last-event-id").empty();
    if (is_stream)
    {
        return std::make_shared<stream_sink>(exchange,
                                             read_last_event(request));
    }
    return std::make_shared<whole_sink>(exchange);
}

void caller_api::send_answer_again(const exchange_ptr& exchange,
                                   const workspace_id& user,
                                   const request_id& id)
{
    auto sink = make_sink(exchange);
    if (m_requests.attach(id, user, sink))
    {
        return;
    }
    m_replication.fetch(
        id, user, std::move(sink),
        [exchange] {
            exchange->respond(to_error_response(not_found("no such request")));
        });
}

void caller_api::list_models(const exchange_ptr& exchange,
                             const workspace_entry& user)
{
    boost::json::array shown;
    const auto config = m_node.current_configuration();
    for (const auto& name : config->deployments_for(user.id))
    {
        shown.push_back(boost::json::object{
            {"id", name}, {"object", "model"}, {"owned_by", "daleshelf"}});
    }
    http_response response;
    response.body = boost::json::serialize(
        boost::json::object{{"object", "list"}, {"data", std::move(shown)}});
    exchange->respond(std::move(response));
}

void caller_api::fetch_answer(const exchange_ptr& exchange,
                              const workspace_entry& user)
{
    const auto& path = exchange->request().path;
    const request_id id(path.substr(path.rfind('/') + 1));
    send_answer_again(exchange, user.id, id);
}

service_request caller_api::describe_call(const http_request& request,
                                          const workspace_entry& user)
{
    constexpr absl::string_view prefix = "/services/";
    const auto rest = request.path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto config = m_node.current_configuration();
    service_request call;
    call.service = service_name(rest.substr(0, slash));
    const auto* service = config->find_service(call.service, user.id);
    if (service == nullptr)
    {
        throw not_found("no service named '" + call.service.value() + "'");
    }
    call.id = new_request_id();
    call.workspace = user.id;
    call.method = request.method;
    call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    call.path += query_text(request);
    call.body = request.body;
    call.content_type = request.header("content-type");
    const bool is_safe = service->repeatable_methods.contains(request.method);
    call.repeats =
        read_repeatability(request, is_safe ? repeatability::repeatable
                                            : repeatability::once_only);
    call.has_key = !request.header("idempotency-key").empty();
    call.deadline = read_deadline(request, service->timeout);
    return call;
}

void caller_api::call_service(const exchange_ptr& exchange,
                              const workspace_entry& user)
{
    auto call = describe_call(exchange->request(), user);
    call.context = begin_span(exchange, "/services");
    const auto start = [this, exchange, call]
    {
        const auto respond = [exchange](http_response response)
        { exchange->respond(std::move(response)); };
        m_gate.run([this, call, respond] { m_services.start(call, respond); });
    };
    run_claimed(exchange, user.id, call.id, call.deadline, start,
                [this, exchange, workspace = user.id](const request_id& winner)
                { send_call_answer_again(exchange, workspace, winner); });
}

void caller_api::send_call_answer_again(const exchange_ptr& exchange,
                                        const workspace_id& user,
                                        const request_id& id)
{
    const auto on_answer = [exchange, id](std::optional<http_response> response)
    {
        if (response)
        {
            exchange->respond(std::move(*response));
            return;
        }
        auto refusal = to_error_response(
            {http_status::conflict, "already_claimed",
             "another call has this key; whether it ran cannot be told",
             verdict::may_have_run});
        refusal.headers.push_back({"Daleshelf-Request-Id", id.value()});
        exchange->respond(std::move(refusal));
    };
    m_services.find_answer(id, user, on_answer);
}

} // namespace daleshelf
