#include "load_driver.hpp"

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <boost/json.hpp>

#include <base/http_status.hpp>
#include <http/event_stream.hpp>
#include <memory>
#include <utility>

namespace daleshelf::benchmark
{

namespace
{

constexpr std::chrono::milliseconds longest_request{60000};
constexpr int most_connections = 10;

} // namespace

/// One request on its way, over one or more connections.
struct load_driver::flight
{
    planned_request request;
    request_sample sample;
    absl::BlockingCounter* done = nullptr;
    absl::Time started;
    absl::Time last_token;
    std::int64_t tokens = 0;
    std::string id;
    bool has_moved = false;
    bool is_done = false;
    int connections = 0;
    int status = 0;
    event_stream_parser parser;

    void take_event(const server_sent_event& event)
    {
        if (event.event == "moved")
        {
            has_moved = true;
            ++sample.moves;
            return;
        }
        if (event.data == "[DONE]")
        {
            is_done = true;
            return;
        }
        if (event.id.empty())
        {
            return;
        }
        const auto now = absl::Now();
        const auto since = tokens == 0 ? started : last_token;
        const auto elapsed = absl::ToDoubleMilliseconds(now - since);
        if (tokens == 0)
        {
            sample.first_token_ms = elapsed;
        }
        else
        {
            sample.gaps_ms.push_back(elapsed);
        }
        last_token = now;
        ++tokens;
    }

    void end()
    {
        sample.total_ms = absl::ToDoubleMilliseconds(absl::Now() - started);
        done->DecrementCount();
    }
};

load_driver::load_driver(http_client& client,
                         std::function<std::vector<std::string>()> entry_hosts)
    : m_client(client), m_entry_hosts(std::move(entry_hosts))
{
}

std::vector<request_sample>
load_driver::run(const std::vector<planned_request>& plan)
{
    absl::BlockingCounter done(static_cast<int>(plan.size()));
    std::vector<std::shared_ptr<flight>> flights;
    const auto start_time = absl::Now();
    for (const auto& request : plan)
    {
        absl::SleepFor(start_time + request.at - absl::Now());
        auto state = std::make_shared<flight>();
        state->request = request;
        state->done = &done;
        state->started = absl::Now();
        state->sample.workspace = request.workspace;
        state->sample.is_service_call = request.is_service_call;
        flights.push_back(state);
        connect(state);
    }
    done.Wait();
    std::vector<request_sample> samples;
    samples.reserve(flights.size());
    for (const auto& state : flights)
    {
        samples.push_back(state->sample);
    }
    return samples;
}

void load_driver::connect(const std::shared_ptr<flight>& state)
{
    const auto hosts = m_entry_hosts();
    const auto& planned = state->request;
    http_client_request request;
    request.url = hosts[m_next_host++ % hosts.size()];
    request.timeout = longest_request;
    request.headers = {{"Authorization", "Bearer key-" + planned.workspace},
                       {"Daleshelf-Priority", planned.priority}};
    if (planned.is_service_call)
    {
        request.url += "/services/index" + planned.path;
    }
    else if (state->id.empty())
    {
        request.method = "POST";
        request.url += "/v1/completions";
        request.body = boost::json::serialize(
            boost::json::object{{"model", "captions"},
                                {"prompt", planned.prompt},
                                {"max_tokens", planned.max_tokens},
                                {"stream", true}});
    }
    else
    {
        request.url += "/v1/requests/" + state->id;
        request.headers.push_back({"Accept", "text/event-stream"});
        request.headers.push_back(
            {"Last-Event-ID", std::to_string(state->tokens - 1)});
    }
    ++state->connections;
    state->has_moved = false;
    state->parser = {};
    http_transfer_handlers handlers;
    handlers.on_head = [state](const http_response& head)
    {
        state->status = head.status;
        for (const auto& header : head.headers)
        {
            if (header.name == "daleshelf-request-id")
            {
                state->id = header.value;
            }
        }
    };
    handlers.on_body = [state](std::string_view piece)
    {
        if (state->status != http_status::ok || state->request.is_service_call)
        {
            return;
        }
        for (const auto& event : state->parser.feed(piece))
        {
            state->take_event(event);
        }
    };
    handlers.on_done = [this, state](const http_transfer_result& result)
    {
        if (state->request.is_service_call)
        {
            state->is_done =
                result.is_complete() && state->status == http_status::ok;
        }
        state->sample.is_answered = state->is_done;
        state->sample.is_refused =
            state->status == http_status::too_many_requests ||
            state->status == http_status::unavailable;
        const bool is_cut = !result.is_complete() || state->has_moved ||
                            state->status == http_status::see_other;
        const bool goes_on = !state->is_done && is_cut && !state->id.empty() &&
                             state->connections < most_connections;
        if (goes_on)
        {
            connect(state);
            return;
        }
        state->end();
    };
    m_client.start(std::move(request), std::move(handlers));
}

} // namespace daleshelf::benchmark
