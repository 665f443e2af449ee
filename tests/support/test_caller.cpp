#include "test_caller.hpp"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/event_stream.hpp>
#include <standins/engine/token_generator.hpp>
#include <utility>

namespace daleshelf::test
{

namespace
{

constexpr std::chrono::milliseconds transfer_timeout{60000};
constexpr int most_connections = 60;
constexpr absl::Duration pause = absl::Milliseconds(200);

std::string header(const http_response& response, const std::string& name)
{
    for (const auto& item : response.headers)
    {
        if (item.name == name)
        {
            return item.value;
        }
    }
    return "";
}

} // namespace

std::string expected_answer(const std::string& engine_model,
                            const std::string& prompt, int max_tokens)
{
    const standin::token_generator generator(engine_model,
                                             standin::tokenize(prompt));
    return generator.answer(max_tokens);
}

test_caller::test_caller(http_client& client, std::vector<std::string> hosts)
    : m_client(client), m_hosts(std::move(hosts))
{
}

test_caller::connection_result
test_caller::send(const http_client_request& request)
{
    connection_result result;
    absl::Notification done;
    http_transfer_handlers handlers;
    handlers.on_head = [&result](const http_response& head)
    {
        result.response.status = head.status;
        result.response.headers = head.headers;
    };
    handlers.on_body = [&result](std::string_view piece)
    { result.response.body += piece; };
    handlers.on_done = [&result, &done](const http_transfer_result& ended)
    {
        result.is_whole = ended.is_complete();
        result.is_sent = ended.is_sent;
        done.Notify();
    };
    m_client.start(request, std::move(handlers));
    done.WaitForNotification();
    return result;
}

http_client_request
test_caller::first_request(const caller_request& request) const
{
    http_client_request sent;
    sent.method = "POST";
    sent.url = m_hosts[m_present] + "/v1/completions";
    sent.timeout = transfer_timeout;
    sent.reuse = connection_reuse::forbidden;
    sent.headers = {
        {"Authorization", "Bearer " + request.key},
        {"Daleshelf-Repeatable", request.is_repeatable ? "true" : "false"}};
    sent.body = boost::json::serialize(
        boost::json::object{{"model", request.model},
                            {"prompt", request.prompt},
                            {"max_tokens", request.max_tokens},
                            {"stream", request.is_stream}});
    return sent;
}

http_client_request
test_caller::next_request(const caller_request& request,
                          const caller_outcome& outcome) const
{
    http_client_request sent;
    sent.url = m_hosts[m_present] + "/v1/requests/" + outcome.request_id;
    sent.timeout = transfer_timeout;
    sent.reuse = connection_reuse::forbidden;
    sent.headers = {{"Authorization", "Bearer " + request.key}};
    if (request.is_stream)
    {
        sent.headers.push_back({"Accept", "text/event-stream"});
        if (m_next_position > 0)
        {
            sent.headers.push_back(
                {"Last-Event-ID", std::to_string(m_next_position - 1)});
        }
    }
    return sent;
}

caller_outcome test_caller::complete(const caller_request& request)
{
    caller_outcome outcome;
    m_next_position = 0;
    for (int i = 0; i < most_connections; ++i)
    {
        const bool is_first = outcome.request_id.empty();
        const auto result = send(is_first ? first_request(request)
                                          : next_request(request, outcome));
        const auto id = header(result.response, "daleshelf-request-id");
        outcome.request_id = id.empty() ? outcome.request_id : id;
        if (!result.is_whole && result.is_sent)
        {
            ++outcome.cut_connections;
        }
        if (request.is_stream)
        {
            const bool is_done = take(result, true, outcome);
            // What was read of a cut stream counts all the same.
            m_next_position =
                static_cast<int>(standin::tokenize(outcome.text).size());
            if (is_done)
            {
                return outcome;
            }
        }
        else if (take(result, false, outcome))
        {
            return outcome;
        }
        m_present = (m_present + 1) % m_hosts.size();
        absl::SleepFor(pause);
    }
    outcome.error_code = "gave_up";
    return outcome;
}

/// @return whether this was the final answer
bool test_caller::take(const connection_result& result, bool is_stream,
                       caller_outcome& outcome)
{
    const auto status = result.response.status;
    if (status == http_status::see_other && result.is_whole)
    {
        ++outcome.moves;
        return false;
    }
    if (status == http_status::ok && is_stream)
    {
        return take_stream(result.response.body, outcome);
    }
    if (!result.is_whole || status == 0)
    {
        return false;
    }
    if (status == http_status::ok)
    {
        const auto body = parse_object(result.response.body);
        const auto& choice = body.at("choices").at(0).as_object();
        outcome.text = require_string(choice, "text");
        outcome.is_complete = true;
        return true;
    }
    // A host that has just started may not have found the request yet.
    const bool is_lost_for_now =
        status == http_status::not_found && !outcome.request_id.empty();
    if (is_lost_for_now)
    {
        return false;
    }
    take_error(result.response.body, outcome);
    return true;
}

bool test_caller::take_stream(const std::string& body, caller_outcome& outcome)
{
    event_stream_parser parser;
    for (const auto& event : parser.feed(body))
    {
        if (event.event == "moved")
        {
            ++outcome.moves;
            return false;
        }
        if (event.event == "error")
        {
            take_error(event.data, outcome);
            return true;
        }
        if (event.data == "[DONE]")
        {
            outcome.is_complete = true;
            return true;
        }
        const auto chunk = parse_object(event.data);
        outcome.text +=
            require_string(chunk.at("choices").at(0).as_object(), "text");
    }
    return false;
}

void test_caller::take_error(const std::string& body, caller_outcome& outcome)
{
    const auto fields = parse_object(body);
    const auto& error = fields.at("error").as_object();
    outcome.error_code = require_string(error, "code");
    outcome.verdict = find_string(error, "verdict").value_or("");
}

} // namespace daleshelf::test
