#include "operator_client.hpp"

#include <absl/synchronization/notification.h>

#include <base/json.hpp>
#include <stdexcept>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds answer_timeout{30000};

} // namespace

operator_client::operator_client(std::string url, std::string token)
    : m_url(std::move(url)), m_token(std::move(token))
{
}

http_client_request operator_client::make_request(const std::string& method,
                                                  const std::string& path) const
{
    http_client_request request;
    request.method = method;
    request.url = m_url + path;
    request.headers = {{"Authorization", "Bearer " + m_token}};
    return request;
}

operator_answer operator_client::send(const std::string& method,
                                      const std::string& path,
                                      const std::string& body)
{
    auto request = make_request(method, path);
    request.body = body;
    request.timeout = answer_timeout;
    const auto response = m_client.fetch(std::move(request));
    return {response.status, parse_object(response.body)};
}

int operator_client::follow(const std::string& path,
                            std::function<void(std::string_view)> on_bytes)
{
    http_transfer_result result;
    absl::Notification done;
    http_transfer_handlers handlers;
    handlers.on_body = std::move(on_bytes);
    handlers.on_done = [&](const http_transfer_result& ended)
    {
        result = ended;
        done.Notify();
    };
    m_client.start(make_request("GET", path), std::move(handlers));
    done.WaitForNotification();
    if (!result.is_complete())
    {
        throw std::runtime_error(result.error);
    }
    return result.status;
}

} // namespace daleshelf
