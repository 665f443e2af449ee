#include "operator_api.hpp"

#include "control_loop.hpp"
#include "node_state.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <array>
#include <base/digest.hpp>
#include <base/json.hpp>
#include <http/http_exchange.hpp>
#include <utility>
#include <vector>

namespace daleshelf
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;

http_response json_response(int status, const boost::json::value& body)
{
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    return response;
}

http_response error_response(int status, const std::string& message)
{
    return json_response(status, boost::json::object{{"error", message}});
}

int status_of(change_outcome::state state)
{
    static constexpr std::array statuses{status_accepted, status_ok,
                                         status_conflict, status_unprocessable};
    return statuses.at(static_cast<std::size_t>(state));
}

} // namespace

operator_api::operator_api(node_state& node, control_loop& control,
                           std::string token_sha256,
                           std::function<void()> on_drain)
    : m_node(node)
    , m_control(control)
    , m_token_sha256(std::move(token_sha256))
    , m_on_drain(std::move(on_drain))
{
}

void operator_api::handle(const exchange_ptr& exchange)
{
    if (!is_authorized(exchange->request()))
    {
        exchange->respond(error_response(status_unauthorized,
                                         "the operators' bearer token is "
                                         "needed"));
        return;
    }
    try
    {
        dispatch(exchange);
    }
    catch (const json_error& error)
    {
        exchange->respond(error_response(status_bad_request, error.what()));
    }
}

bool operator_api::is_authorized(const http_request& request) const
{
    const auto header = request.header("authorization");
    absl::string_view token = header;
    return absl::ConsumePrefix(&token, "Bearer ") &&
           sha256_hex({token.data(), token.size()}) == m_token_sha256;
}

void operator_api::dispatch(const exchange_ptr& exchange)
{
    // Paths: /apis/v1/resources/{kind}[/{name}], /apis/v1/changes[/{id}],
    // /apis/v1/watch, /apis/v1/status, /apis/v1/drain.
    constexpr std::size_t collection = 3;
    const auto& request = exchange->request();
    const std::vector<std::string> parts = absl::StrSplit(request.path, '/');
    const bool is_known =
        parts.size() > collection && parts[1] == "apis" && parts[2] == "v1";
    const std::string what = is_known ? parts[collection] : "";
    const auto count = parts.size() - collection - 1;
    const bool is_post = request.method == "POST";
    if (what == "resources" && count == 1)
    {
        list(exchange, parts[collection + 1]);
    }
    else if (what == "resources" && count == 2)
    {
        get(exchange, parts[collection + 1], parts[collection + 2]);
    }
    else if (what == "changes" && count == 0 && is_post)
    {
        propose(exchange);
    }
    else if (what == "changes" && count == 1)
    {
        get_change(exchange, parts[collection + 1]);
    }
    else if (what == "watch")
    {
        watch(exchange);
    }
    else if (what == "status")
    {
        status(exchange);
    }
    else if (what == "drain" && is_post)
    {
        drain(exchange);
    }
    else
    {
        exchange->respond(error_response(status_not_found, "no such path"));
    }
}

void operator_api::list(const exchange_ptr& exchange, const std::string& kind)
{
    const auto known = resource_kind_from_string(kind);
    if (!known)
    {
        exchange->respond(error_response(
            status_not_found, "'" + kind + "' is not a kind of resource"));
        return;
    }
    const auto config = m_node.current_configuration();
    boost::json::array items;
    for (const auto& [key, item] : config->resources())
    {
        if (key.kind == *known)
        {
            items.push_back(to_json(*item));
        }
    }
    exchange->respond(json_response(
        status_ok, boost::json::object{{"next", config->next().value()},
                                       {"items", std::move(items)}}));
}

void operator_api::get(const exchange_ptr& exchange, const std::string& kind,
                       const std::string& name)
{
    const auto known = resource_kind_from_string(kind);
    const auto config = m_node.current_configuration();
    const auto found =
        known ? config->resources().find(resource_key{*known, name})
              : config->resources().end();
    if (found == config->resources().end())
    {
        exchange->respond(error_response(
            status_not_found, "no " + kind + " named '" + name + "'"));
        return;
    }
    exchange->respond(json_response(status_ok, to_json(*found->second)));
}

void operator_api::propose(const exchange_ptr& exchange)
{
    auto proposed = change_from_json(parse_object(exchange->request().body));
    const auto id = proposed.id;
    m_control.propose(std::move(proposed),
                      [exchange, id](const change_outcome& outcome)
                      {
                          exchange->respond(json_response(
                              status_of(outcome.what), to_json(id, outcome)));
                      });
}

void operator_api::get_change(const exchange_ptr& exchange,
                              const std::string& id)
{
    m_control.find_change(
        change_id(id),
        [exchange, id](const std::optional<change_outcome>& found)
        {
            if (!found)
            {
                exchange->respond(error_response(
                    status_not_found, "no change with this id is known"));
                return;
            }
            exchange->respond(
                json_response(status_ok, to_json(change_id(id), *found)));
        });
}

void operator_api::watch(const exchange_ptr& exchange)
{
    std::int64_t from = 0;
    std::int64_t count = 0;
    const auto& request = exchange->request();
    (void)absl::SimpleAtoi(request.parameter("from"), &from);
    (void)absl::SimpleAtoi(request.parameter("count"), &count);
    m_control.watch(log_offset(from), count, exchange);
}

void operator_api::status(const exchange_ptr& exchange)
{
    m_control.ask_status(
        [this, exchange](const control_status& status)
        {
            const auto age = absl::Now() - status.last_contact;
            exchange->respond(json_response(
                status_ok,
                boost::json::object{
                    {"host", m_node.host().value()},
                    {"hall", m_node.hall().value()},
                    {"ready", m_node.is_current() && !m_node.is_draining()},
                    {"draining", m_node.is_draining()},
                    {"next", status.next.value()},
                    {"log_reachable", status.is_log_reachable},
                    {"configuration_age_ms", absl::ToInt64Milliseconds(age)},
                    {"skipped_records", status.skipped_records}}));
        });
}

void operator_api::drain(const exchange_ptr& exchange)
{
    exchange->respond(json_response(status_accepted,
                                    boost::json::object{{"draining", true}}));
    m_on_drain();
}

} // namespace daleshelf
