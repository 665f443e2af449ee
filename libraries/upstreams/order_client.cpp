#include "order_client.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/http_client.hpp>
#include <memory>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds order_timeout{2000};

bool is_ready(const std::string& body, const std::string& model)
{
    const auto fields = parse_object(body);
    const auto* models = find_array(fields, "models");
    if (models == nullptr)
    {
        return false;
    }
    for (const auto& entry : *models)
    {
        const auto& item = entry.as_object();
        if (require_string(item, "model") == model)
        {
            return find_boolean(item, "ready").value_or(false);
        }
    }
    return false;
}

} // namespace

order_client::order_client(http_client& client) : m_client(client) {}

void order_client::give(const std::string& url, const engine_order& order,
                        std::function<void(order_outcome)> on_done)
{
    http_client_request request;
    request.method = "POST";
    request.url = url + "/orders";
    request.timeout = order_timeout;
    request.body = boost::json::serialize(
        boost::json::object{{"fencing_token", order.token.value()},
                            {"order", order.order},
                            {"model", order.model}});
    http_transfer_handlers handlers;
    handlers.on_done =
        [done = std::move(on_done)](const http_transfer_result& result)
    {
        if (result.is_complete() && result.status == http_status::ok)
        {
            done(order_outcome::taken);
            return;
        }
        const bool is_stale =
            result.is_complete() && result.status == http_status::conflict;
        done(is_stale ? order_outcome::stale : order_outcome::unknown);
    };
    m_client.start(std::move(request), std::move(handlers));
}

void order_client::ask_ready(const std::string& url, const std::string& model,
                             std::function<void(bool)> on_done)
{
    http_client_request request;
    request.url = url + "/orders";
    request.timeout = order_timeout;
    auto body = std::make_shared<std::string>();
    http_transfer_handlers handlers;
    handlers.on_body = [body](std::string_view piece) { *body += piece; };
    handlers.on_done = [body, model, done = std::move(on_done)](
                           const http_transfer_result& result)
    {
        bool is_there = false;
        try
        {
            is_there = result.is_complete() && is_ready(*body, model);
        }
        catch (const std::exception&)
        {
            is_there = false; // it is asked again
        }
        done(is_there);
    };
    m_client.start(std::move(request), std::move(handlers));
}

} // namespace daleshelf
