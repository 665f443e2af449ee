#include "cloud_client.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/http_client.hpp>
#include <memory>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{3000};

host_order_result to_result(const http_transfer_result& transfer,
                            const std::string& body)
{
    using outcome = host_order_result::outcome;
    host_order_result result;
    if (!transfer.is_complete())
    {
        result.what = transfer.is_sent ? outcome::unknown : outcome::refused;
        return result;
    }
    if (transfer.status == http_status::not_found)
    {
        result.what = outcome::absent;
        return result;
    }
    if (transfer.status == http_status::unavailable)
    {
        result.what = outcome::refused;
        return result;
    }
    const bool is_started = transfer.status == http_status::ok ||
                            transfer.status == http_status::created;
    try
    {
        if (is_started)
        {
            result.host = host_id(require_string(parse_object(body), "id"));
            result.what = outcome::started;
        }
    }
    catch (const json_error&)
    {
        result.what = outcome::unknown;
    }
    return result;
}

http_transfer_handlers collect(cloud_client::result_handler on_done)
{
    auto body = std::make_shared<std::string>();
    http_transfer_handlers handlers;
    handlers.on_body = [body](std::string_view piece) { *body += piece; };
    handlers.on_done =
        [body, done = std::move(on_done)](const http_transfer_result& result)
    { done(to_result(result, *body)); };
    return handlers;
}

} // namespace

cloud_client::cloud_client(http_client& client, std::string base_url)
    : m_client(client), m_base_url(std::move(base_url))
{
}

void cloud_client::start_host(const host_order& order, result_handler on_done)
{
    http_client_request request;
    request.method = "POST";
    request.url = m_base_url + "/cloud/hosts";
    request.timeout = call_timeout;
    request.reuse = connection_reuse::forbidden;
    request.body = boost::json::serialize(
        boost::json::object{{"token", order.token},
                            {"hall", order.hall.value()},
                            {"reclaimable", order.is_reclaimable}});
    m_client.start(std::move(request), collect(std::move(on_done)));
}

void cloud_client::find_host(const std::string& token, result_handler on_done)
{
    http_client_request request;
    request.url = m_base_url + "/cloud/hosts?token=" + url_encode(token);
    request.timeout = call_timeout;
    m_client.start(std::move(request), collect(std::move(on_done)));
}

} // namespace daleshelf
