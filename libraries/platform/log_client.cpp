#include "log_client.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/http_client.hpp>
#include <memory>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds append_timeout{3000};
constexpr std::chrono::milliseconds read_timeout{3000};

/// Collects a whole answer.
struct collected_answer
{
    std::string body;
};

log_append_result to_append_result(const http_transfer_result& transfer,
                                   const std::string& body)
{
    log_append_result result;
    using outcome = log_append_result::outcome;
    result.message = transfer.is_complete() ? body : transfer.error;
    if (!transfer.is_complete())
    {
        result.state = transfer.is_sent ? outcome::unknown : outcome::refused;
        return result;
    }
    if (transfer.status >= http_status::first_server_error)
    {
        return result; // it may have been appended all the same
    }
    if (transfer.status != http_status::ok)
    {
        result.state = outcome::refused;
        return result;
    }
    try
    {
        result.offset =
            log_offset(require_integer(parse_object(body), "offset"));
        result.state = outcome::appended;
    }
    catch (const json_error& error)
    {
        result.message = error.what();
    }
    return result;
}

void read_records(const boost::json::object& fields, log_read_result& result)
{
    const auto* records = find_array(fields, "records");
    if (records == nullptr)
    {
        throw json_error("field 'records' must be given, as an array");
    }
    for (const auto& entry : *records)
    {
        const auto& record = entry.as_object();
        result.records.push_back({log_offset(require_integer(record, "offset")),
                                  require_string(record, "data")});
    }
}

log_read_result to_read_result(const http_transfer_result& transfer,
                               const std::string& body)
{
    log_read_result result;
    using outcome = log_read_result::outcome;
    const bool is_answer = transfer.status == http_status::ok ||
                           transfer.status == http_status::gone;
    if (!transfer.is_complete() || !is_answer)
    {
        result.message = transfer.is_complete() ? body : transfer.error;
        return result;
    }
    try
    {
        const auto fields = parse_object(body);
        result.first = log_offset(require_integer(fields, "first"));
        result.next = log_offset(require_integer(fields, "next"));
        if (transfer.status == http_status::gone)
        {
            result.state = outcome::trimmed;
            return result;
        }
        read_records(fields, result);
        result.state = outcome::records;
    }
    catch (const std::exception& error)
    {
        result.message = error.what();
    }
    return result;
}

http_transfer_handlers
collect(std::function<void(const http_transfer_result&, const std::string&)>
            on_done)
{
    auto answer = std::make_shared<collected_answer>();
    http_transfer_handlers handlers;
    handlers.on_body = [answer](std::string_view piece)
    { answer->body += piece; };
    handlers.on_done =
        [answer, done = std::move(on_done)](const http_transfer_result& result)
    { done(result, answer->body); };
    return handlers;
}

} // namespace

log_client::log_client(http_client& client, std::string base_url)
    : m_client(client), m_base_url(std::move(base_url))
{
}

std::string log_client::url(const std::string& stream) const
{
    return m_base_url + "/log/" + stream + "/records";
}

void log_client::append(const std::string& stream, const std::string& data,
                        std::function<void(const log_append_result&)> on_done)
{
    http_client_request request;
    request.method = "POST";
    request.url = url(stream);
    request.body = boost::json::serialize(boost::json::object{{"data", data}});
    request.timeout = append_timeout;
    // A second sending by the HTTP library would append twice.
    request.reuse = connection_reuse::forbidden;
    m_client.start(std::move(request),
                   collect([done = std::move(on_done)](
                               const http_transfer_result& transfer,
                               const std::string& body)
                           { done(to_append_result(transfer, body)); }));
}

void log_client::read(const std::string& stream, log_offset from,
                      std::chrono::milliseconds wait,
                      std::function<void(log_read_result)> on_done)
{
    http_client_request request;
    request.url = url(stream) + "?from=" + std::to_string(from.value()) +
                  "&wait_ms=" + std::to_string(wait.count());
    request.timeout = wait + read_timeout;
    m_client.start(std::move(request),
                   collect([done = std::move(on_done)](
                               const http_transfer_result& transfer,
                               const std::string& body)
                           { done(to_read_result(transfer, body)); }));
}

} // namespace daleshelf
