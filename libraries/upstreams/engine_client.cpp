#include "engine_client.hpp"

#include "attempt_status.hpp"

#include <absl/strings/numbers.h>

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/event_stream.hpp>
#include <memory>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::size_t longest_error_body = 2000;

/// Reads one engine's answer as it comes.
class answer_reader
{
public:
    explicit answer_reader(engine_handlers handlers)
        : m_handlers(std::move(handlers))
    {
    }

    void take_head(const http_response& head)
    {
        m_head = head;
        const auto stream_id = find_header(head, "x-stream-id");
        if (stream_id)
        {
            m_handlers.on_stream(*stream_id);
        }
    }

    void take_body(std::string_view piece)
    {
        if (m_head.status != http_status::ok)
        {
            m_error_body += piece.substr(
                0, longest_error_body -
                       std::min(longest_error_body, m_error_body.size()));
            return;
        }
        for (const auto& event : m_parser.feed(piece))
        {
            take_event(event);
        }
    }

    void end(const http_transfer_result& transfer)
    {
        m_handlers.on_ended(to_attempt_result(transfer, m_head, m_error_body));
    }

private:
    void take_event(const server_sent_event& event)
    {
        if (event.data == "[DONE]")
        {
            return;
        }
        try
        {
            take_chunk(event, parse_object(event.data));
        }
        catch (const std::exception&)
        {
            // A chunk that cannot be read leaves a gap, and the gap keeps the
            // answer from being taken as whole.
        }
    }

    void take_chunk(const server_sent_event& event,
                    const boost::json::object& chunk)
    {
        std::int64_t position = 0;
        if (!absl::SimpleAtoi(event.id, &position))
        {
            return;
        }
        const auto& choice = chunk.at("choices").at(0).as_object();
        const auto finish = find_string(choice, "finish_reason");
        if (finish)
        {
            m_handlers.on_finish(token_position(position), *finish,
                                 read_usage(chunk));
            return;
        }
        const auto* delta = find_object(choice, "delta");
        const auto text = delta == nullptr ? require_string(choice, "text")
                                           : require_string(*delta, "content");
        m_handlers.on_token(token_position(position), text);
    }

    static answer_usage read_usage(const boost::json::object& chunk)
    {
        answer_usage usage;
        const auto* fields = find_object(chunk, "usage");
        if (fields == nullptr)
        {
            return usage;
        }
        const auto count = [fields](std::string_view key)
        { return find_integer(*fields, key).value_or(0); };
        usage.prompt_tokens = count("prompt_tokens");
        usage.completion_tokens = count("completion_tokens");
        usage.cached_tokens = count("cached_tokens");
        usage.prefilled_tokens = count("prefilled_tokens");
        return usage;
    }

    engine_handlers m_handlers;
    http_response m_head;
    std::string m_error_body;
    event_stream_parser m_parser;
};

http_client_request to_request(const engine_call& call)
{
    http_client_request request;
    const auto& description = call.description;
    request.headers = {{"X-Attempt-Id", call.attempt.value()},
                       {"X-Request-Id", description.id.value()},
                       {"traceparent", call.traceparent}};
    if (!call.resume_stream.empty())
    {
        request.url = call.url + "/v1/streams/" + call.resume_stream +
                      "?from=" + std::to_string(call.from.value());
        return request;
    }
    const bool is_chat = description.form == generation_form::chat;
    request.method = "POST";
    request.url =
        call.url + (is_chat ? "/v1/chat/completions" : "/v1/completions");
    request.headers.push_back({"Content-Type", "application/json"});
    auto body = parse_object(description.body);
    body["model"] = description.engine_model;
    body["stream"] = true;
    body["priority"] = description.priority;
    if (!call.continuation.empty())
    {
        body["continuation"] = call.continuation;
    }
    request.body = boost::json::serialize(body);
    if (description.repeats == repeatability::once_only)
    {
        request.reuse = connection_reuse::forbidden;
    }
    return request;
}

} // namespace

engine_client::engine_client(http_client& client) : m_client(client) {}

http_client::transfer_id engine_client::start(const engine_call& call,
                                              engine_handlers handlers)
{
    auto reader = std::make_shared<answer_reader>(std::move(handlers));
    http_transfer_handlers transfer;
    transfer.on_head = [reader](const http_response& head)
    { reader->take_head(head); };
    transfer.on_body = [reader](std::string_view piece)
    { reader->take_body(piece); };
    transfer.on_done = [reader](const http_transfer_result& result)
    { reader->end(result); };
    return m_client.start(to_request(call), std::move(transfer));
}

void engine_client::cancel(http_client::transfer_id id)
{
    m_client.cancel(id);
}

void engine_client::move_cache(const std::string& from_url,
                               const std::string& stream_id,
                               const std::string& to_url,
                               std::chrono::milliseconds timeout,
                               std::function<void(bool)> on_done)
{
    http_client_request read;
    read.url = from_url + "/kv/" + stream_id;
    read.timeout = timeout;
    auto blocks = std::make_shared<std::string>();
    http_transfer_handlers on_read;
    on_read.on_body = [blocks](std::string_view piece) { *blocks += piece; };
    on_read.on_done =
        [this, blocks, to_url, timeout,
         done = std::move(on_done)](const http_transfer_result& result)
    {
        if (!result.is_complete() || result.status != http_status::ok)
        {
            done(false);
            return;
        }
        http_client_request write;
        write.method = "POST";
        write.url = to_url + "/kv";
        write.body = *blocks;
        write.timeout = timeout;
        http_transfer_handlers on_written;
        on_written.on_done = [done](const http_transfer_result& written)
        { done(written.is_complete() && written.status == http_status::ok); };
        m_client.start(std::move(write), std::move(on_written));
    };
    m_client.start(std::move(read), std::move(on_read));
}

void engine_client::cancel_stream(const std::string& url,
                                  const std::string& stream_id)
{
    constexpr std::chrono::milliseconds cancel_timeout{2000};
    http_client_request request;
    request.method = "DELETE";
    request.url = url + "/v1/streams/" + stream_id;
    request.timeout = cancel_timeout;
    m_client.start(std::move(request), {});
}

} // namespace daleshelf
