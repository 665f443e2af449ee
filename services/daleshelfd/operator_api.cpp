#include "operator_api.hpp"

#include "configuration_follower.hpp"
#include "node_state.hpp"
#include "peer_service.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/http_exchange.hpp>
#include <utility>
#include <vector>

namespace daleshelf
{

namespace
{

constexpr std::int64_t default_wait_ms = 10000;
constexpr std::int64_t longest_wait_ms = 60000;

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
    static constexpr std::array statuses{http_status::accepted, http_status::ok,
                                         http_status::conflict,
                                         http_status::unprocessable};
    return statuses.at(static_cast<std::size_t>(state));
}

boost::json::array to_names(const std::vector<host_id>& hosts)
{
    boost::json::array names;
    for (const auto& host : hosts)
    {
        names.push_back(boost::json::string(host.value()));
    }
    return names;
}

} // namespace

operator_api::operator_api(node_state& node, configuration_follower& follower,
                           peer_service& peers, operator_api_options options,
                           std::function<void()> on_drain)
    : m_node(node)
    , m_follower(follower)
    , m_peers(peers)
    , m_options(std::move(options))
    , m_on_drain(std::move(on_drain))
{
}

void operator_api::handle(const exchange_ptr& exchange)
{
    if (!is_authorized(exchange->request()))
    {
        exchange->respond(error_response(http_status::unauthorized,
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
        exchange->respond(
            error_response(http_status::bad_request, error.what()));
    }
}

bool operator_api::is_authorized(const http_request& request) const
{
    const auto header = request.header("authorization");
    absl::string_view token = header;
    return absl::ConsumePrefix(&token, "Bearer ") &&
           sha256_hex({token.data(), token.size()}) == m_options.token_sha256;
}

void operator_api::dispatch(const exchange_ptr& exchange)
{
    // Paths: /apis/v1/resources/{kind}[/{name}], /apis/v1/changes[/{id}],
    // /apis/v1/changes/{id}/wait, /apis/v1/hosts, /apis/v1/watch,
    // /apis/v1/status, /apis/v1/drain, /apis/v1/faults.
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
    else if (what == "changes" && count == 2 && parts.back() == "wait")
    {
        wait_for_change(exchange, parts[collection + 1]);
    }
    else if (what == "hosts")
    {
        list_hosts(exchange);
    }
    else if (what == "faults" && is_post && m_options.has_test_faults)
    {
        set_cut(exchange);
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
        exchange->respond(
            error_response(http_status::not_found, "no such path"));
    }
}

void operator_api::list(const exchange_ptr& exchange, const std::string& kind)
{
    const auto known = resource_kind_from_string(kind);
    if (!known)
    {
        exchange->respond(
            error_response(http_status::not_found,
                           "'" + kind + "' is not a kind of resource"));
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
        http_status::ok, boost::json::object{{"next", config->next().value()},
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
            http_status::not_found, "no " + kind + " named '" + name + "'"));
        return;
    }
    exchange->respond(json_response(http_status::ok, to_json(*found->second)));
}

void operator_api::propose(const exchange_ptr& exchange)
{
    auto proposed = change_from_json(parse_object(exchange->request().body));
    const auto id = proposed.id;
    m_follower.propose(
        std::move(proposed),
        [exchange, id](const change_outcome& outcome)
        {
            exchange->respond(
                json_response(status_of(outcome.what), to_json(id, outcome)));
        },
        [exchange]
        {
            auto response =
                error_response(http_status::unavailable,
                               "too many changes wait for the log; this one "
                               "was not taken");
            response.headers.push_back({"Retry-After", "5"});
            exchange->respond(std::move(response));
        });
}

void operator_api::get_change(const exchange_ptr& exchange,
                              const std::string& id)
{
    m_follower.find_change(
        change_id(id),
        [exchange, id](const std::optional<change_outcome>& found)
        {
            if (!found)
            {
                exchange->respond(error_response(
                    http_status::not_found, "no change with this id is known"));
                return;
            }
            exchange->respond(
                json_response(http_status::ok, to_json(change_id(id), *found)));
        });
}

void operator_api::wait_for_change(const exchange_ptr& exchange,
                                   const std::string& id)
{
    std::int64_t timeout_ms = default_wait_ms;
    (void)absl::SimpleAtoi(exchange->request().parameter("timeout_ms"),
                           &timeout_ms);
    const auto deadline =
        absl::Now() + absl::Milliseconds(std::min(timeout_ms, longest_wait_ms));
    m_follower.wait_for_change(
        change_id(id), deadline,
        [exchange, id](const change_coverage& coverage)
        {
            if (!coverage.outcome)
            {
                exchange->respond(error_response(
                    http_status::not_found, "no change with this id is known"));
                return;
            }
            auto body = to_json(change_id(id), *coverage.outcome);
            body["in_force"] = to_names(coverage.in_force);
            body["missing"] = to_names(coverage.missing);
            exchange->respond(json_response(http_status::ok, body));
        });
}

void operator_api::list_hosts(const exchange_ptr& exchange)
{
    const auto view = m_node.peers();
    boost::json::array items;
    for (const auto& [id, item] : view->members)
    {
        items.push_back(boost::json::object{{"id", id.value()},
                                            {"hall", item.hall.value()},
                                            {"address", item.address},
                                            {"state", to_string(item.state)},
                                            {"draining", item.is_draining},
                                            {"next", item.applied.value()}});
    }
    boost::json::array leaving;
    for (const auto& host : view->leaving)
    {
        leaving.push_back(boost::json::string(host.value()));
    }
    const auto& transport = m_peers.transport();
    exchange->respond(json_response(
        http_status::ok,
        boost::json::object{{"self", m_node.host().value()},
                            {"address", transport.address()},
                            {"bytes_sent", transport.bytes_sent()},
                            {"bytes_received", transport.bytes_received()},
                            {"items", std::move(items)},
                            {"leaving", std::move(leaving)}}));
}

/// Test fault: `{"address": "IP:PORT" or "*", "direction": "incoming" or
/// "outgoing", "cut": true}`.
void operator_api::set_cut(const exchange_ptr& exchange)
{
    const auto fields = parse_object(exchange->request().body);
    const auto direction = require_string(fields, "direction") == "incoming"
                               ? cut_direction::incoming
                               : cut_direction::outgoing;
    m_peers.set_cut(require_string(fields, "address"), direction,
                    find_boolean(fields, "cut").value_or(true));
    exchange->respond(json_response(http_status::ok, boost::json::object{}));
}

void operator_api::watch(const exchange_ptr& exchange)
{
    std::int64_t from = 0;
    std::int64_t count = 0;
    const auto& request = exchange->request();
    (void)absl::SimpleAtoi(request.parameter("from"), &from);
    (void)absl::SimpleAtoi(request.parameter("count"), &count);
    m_follower.watch(log_offset(from), count, exchange);
}

void operator_api::status(const exchange_ptr& exchange)
{
    m_follower.ask_status(
        [this, exchange](const follower_status& status)
        {
            const auto age = absl::Now() - status.last_contact;
            exchange->respond(json_response(
                http_status::ok,
                boost::json::object{
                    {"host", m_node.host().value()},
                    {"hall", m_node.hall().value()},
                    {"ready", m_node.is_current() && !m_node.is_draining()},
                    {"draining", m_node.is_draining()},
                    {"planner", m_node.is_planner()},
                    {"next", status.next.value()},
                    {"log_reachable", status.is_log_reachable},
                    {"configuration_age_ms", absl::ToInt64Milliseconds(age)},
                    {"skipped_records", status.skipped_records}}));
        });
}

void operator_api::drain(const exchange_ptr& exchange)
{
    // An idle process ends at once when it drains, with its connections.
    exchange->set_close_handler(m_on_drain);
    exchange->respond(json_response(http_status::accepted,
                                    boost::json::object{{"draining", true}}));
}

} // namespace daleshelf
