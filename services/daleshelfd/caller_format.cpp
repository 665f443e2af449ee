#include "caller_format.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <cmath>
#include <http/event_stream.hpp>

namespace daleshelf
{

namespace
{

constexpr double milliseconds_per_second = 1000;

std::string error_type(int status)
{
    if (status >= http_status::first_server_error)
    {
        return "server_error";
    }
    if (status == http_status::unauthorized)
    {
        return "authentication_error";
    }
    return status == http_status::too_many_requests ? "rate_limit_error"
                                                    : "invalid_request_error";
}

boost::json::object make_choice(const request_machine& request,
                                std::string_view part,
                                const boost::json::string& text,
                                const std::string& finish_reason)
{
    boost::json::object choice{{"index", 0}};
    if (request.description().form == generation_form::chat)
    {
        choice[{part.data(), part.size()}] =
            boost::json::object{{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    choice["finish_reason"] = finish_reason.empty()
                                  ? boost::json::value()
                                  : boost::json::value(finish_reason);
    return choice;
}

boost::json::object make_chunk(const request_machine& request,
                               boost::json::object choice)
{
    const bool is_chat = request.description().form == generation_form::chat;
    return {{"id", request.description().id.value()},
            {"object", is_chat ? "chat.completion.chunk" : "text_completion"},
            {"model", request.description().deployment},
            {"choices", boost::json::array{std::move(choice)}}};
}

boost::json::object make_usage(const request_machine& request)
{
    const auto& usage = request.usage();
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.completion_tokens},
            {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
            {"prompt_tokens_details",
             boost::json::object{{"cached_tokens", usage.cached_tokens}}}};
}

std::string request_location(const request_machine& request)
{
    return "/v1/requests/" + request.description().id.value();
}

std::string moved_body(const request_machine& request)
{
    return boost::json::serialize(boost::json::object{
        {"id", request.description().id.value()},
        {"location", request_location(request)},
        {"next_position", request.answer().next().value()}});
}

} // namespace

std::string to_error_body(const request_error& error)
{
    boost::json::object fields{{"message", error.what()},
                               {"type", error_type(error.status())},
                               {"code", error.code()},
                               {"verdict", to_string(error.run())}};
    if (error.retry_after())
    {
        fields["retry_after_ms"] = error.retry_after()->count();
    }
    return boost::json::serialize(
        boost::json::object{{"error", std::move(fields)}});
}

http_response to_error_response(const request_error& error)
{
    http_response response;
    response.status = error.status();
    response.body = to_error_body(error);
    response.headers.push_back({"Daleshelf-Verdict", to_string(error.run())});
    if (error.retry_after())
    {
        const auto seconds =
            std::ceil(static_cast<double>(error.retry_after()->count()) /
                      milliseconds_per_second);
        const auto shown =
            std::max<std::int64_t>(1, static_cast<std::int64_t>(seconds));
        response.headers.push_back({"Retry-After", std::to_string(shown)});
    }
    return response;
}

http_response to_failed_response(const request_machine& request,
                                 const request_error& error)
{
    auto response = to_error_response(error);
    response.headers.push_back(
        {"Daleshelf-Request-Id", request.description().id.value()});
    return response;
}

http_response to_whole_response(const request_machine& request)
{
    const bool is_chat = request.description().form == generation_form::chat;
    auto fields = make_chunk(
        request, make_choice(request, "message",
                             boost::json::string(request.answer().text()),
                             request.finish_reason()));
    fields["object"] = is_chat ? "chat.completion" : "text_completion";
    fields["usage"] = make_usage(request);
    http_response response;
    response.body = boost::json::serialize(fields);
    response.headers.push_back(
        {"Daleshelf-Request-Id", request.description().id.value()});
    return response;
}

std::string to_token_event(const request_machine& request,
                           token_position position)
{
    const auto text = request.answer().token(position);
    server_sent_event event;
    event.id = std::to_string(position.value());
    event.data = boost::json::serialize(make_chunk(
        request,
        make_choice(request, "delta",
                    boost::json::string(text.data(), text.size()), "")));
    return to_event_stream(event);
}

std::string to_end_events(const request_machine& request)
{
    auto chunk = make_chunk(
        request, make_choice(request, "delta", "", request.finish_reason()));
    chunk["usage"] = make_usage(request);
    server_sent_event last;
    last.data = boost::json::serialize(chunk);
    server_sent_event done;
    done.data = "[DONE]";
    return to_event_stream(last) + to_event_stream(done);
}

http_response to_moved_response(const request_machine& request)
{
    http_response response;
    response.status = http_status::see_other;
    response.body = moved_body(request);
    response.headers = {
        {"Location", request_location(request)},
        {"Daleshelf-Request-Id", request.description().id.value()}};
    return response;
}

std::string to_moved_event(const request_machine& request)
{
    server_sent_event event;
    event.event = "moved";
    event.data = moved_body(request);
    return to_event_stream(event);
}

std::string to_error_event(const request_error& error)
{
    server_sent_event event;
    event.event = "error";
    event.data = to_error_body(error);
    return to_event_stream(event);
}

} // namespace daleshelf
