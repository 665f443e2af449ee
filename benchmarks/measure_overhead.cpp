/// @file
/// What an entry host adds to a call: the same call through it and straight to
/// the upstream, at several numbers of callers; and its memory with many open
/// streams. See docs/MEASUREMENTS.md.
#include "load/process_figures.hpp"
#include "load/run_report.hpp"

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <base/json.hpp>
#include <iostream>
#include <memory>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>

namespace daleshelf::benchmark
{
namespace
{

/// Callers that each send the next call when the last one has ended.
class closed_loop
{
public:
    closed_loop(http_client& client, http_client_request request, int callers,
                int calls)
        : m_client(client)
        , m_request(std::move(request))
        , m_left(calls)
        , m_done(callers)
    {
    }

    std::vector<double> run(int callers)
    {
        for (int i = 0; i < callers; ++i)
        {
            next();
        }
        m_done.Wait();
        absl::MutexLock lock(&m_mutex);
        return m_times;
    }

private:
    void next()
    {
        {
            absl::MutexLock lock(&m_mutex);
            if (m_left-- <= 0)
            {
                m_done.DecrementCount();
                return;
            }
        }
        const auto start = absl::Now();
        http_transfer_handlers handlers;
        handlers.on_done = [this, start](const http_transfer_result& result)
        {
            if (!result.is_complete() || result.status != 200)
            {
                ++m_failed;
            }
            {
                absl::MutexLock lock(&m_mutex);
                m_times.push_back(
                    absl::ToDoubleMilliseconds(absl::Now() - start));
            }
            next();
        };
        m_client.start(m_request, std::move(handlers));
    }

    http_client& m_client;
    http_client_request m_request;
    absl::Mutex m_mutex;
    int m_left ABSL_GUARDED_BY(m_mutex);
    std::vector<double> m_times ABSL_GUARDED_BY(m_mutex);
    absl::BlockingCounter m_done;

public:
    std::atomic<int> m_failed = 0;
};

class overhead
{
public:
    overhead()
    {
        m_fleet.start_platform();
        m_engine = m_fleet.start_engine(
            "engine", {"--model", "m", "--max-batch", "1024", "--step-us",
                       "5000", "--decode-us", "0"});
        m_service = m_fleet.start_service("index");
        m_fleet.start_host({"entry-a", "a", {"log.level = \"error\""}});
        auto engine = test::make_engine("engine", "a", m_engine, "m");
        engine["body"].as_object()["max_concurrency"] = 5000;
        m_fleet.apply(
            "entry-a",
            {test::make_workspace("studio", "key"),
             test::make_resource("deployment", "captions", {{"model", "m"}}),
             test::make_resource("service", "index", {}), std::move(engine),
             test::make_resource("upstream", "index",
                                 {{"type", "service"},
                                  {"url", m_service},
                                  {"hall", "a"},
                                  {"max_concurrency", 5000},
                                  {"service", "index"}})});
    }

    void measure_calls(int callers)
    {
        const auto entry = m_fleet.host("entry-a").callers_url;
        const int calls = callers == 1 ? 1000 : 6000;
        for (const bool is_direct : {true, false, true, false})
        {
            http_client_request request;
            request.url = is_direct ? m_service + "/checksum"
                                    : entry + "/services/index/checksum";
            request.headers = {{"Authorization", "Bearer key"}};
            closed_loop loop(m_fleet.client(), request, callers, calls);
            const auto times = loop.run(callers);
            std::cout << boost::json::serialize(boost::json::object{
                             {"measure", "plain_call"},
                             {"callers", callers},
                             {"way", is_direct ? "direct" : "entry_host"},
                             {"p50_ms", quantile(times, 0.5)},
                             {"p99_ms", quantile(times, 0.99)},
                             {"failed", loop.m_failed.load()}})
                      << std::endl;
        }
    }

    void measure_streams(int streams)
    {
        const auto& host = m_fleet.host("entry-a");
        const auto before = resident_kilobytes(host.process->pid());
        const auto processor_before = processor_seconds(host.process->pid());
        constexpr int tokens = 600;
        std::atomic<int> open = 0;
        absl::BlockingCounter done(streams);
        for (int i = 0; i < streams; ++i)
        {
            http_client_request request;
            request.method = "POST";
            request.url = host.callers_url + "/v1/completions";
            request.headers = {{"Authorization", "Bearer key"}};
            request.body = R"({"model":"captions","prompt":"p )" +
                           std::to_string(i) +
                           R"(","max_tokens":600,"stream":true})";
            http_transfer_handlers handlers;
            handlers.on_head = [&open](const http_response& head)
            { open += head.status == 200 ? 1 : 0; };
            handlers.on_done = [&done](const http_transfer_result&)
            { done.DecrementCount(); };
            m_fleet.client().start(std::move(request), std::move(handlers));
        }
        test::wait_until([&] { return open.load() == streams; },
                         "all streams are open");
        const auto during = resident_kilobytes(host.process->pid());
        done.Wait();
        std::cout << boost::json::serialize(boost::json::object{
                         {"measure", "open_streams"},
                         {"streams", streams},
                         {"before_kb", before},
                         {"during_kb", during},
                         {"processor_us_per_token",
                          (processor_seconds(host.process->pid()) -
                           processor_before) /
                              streams / tokens * 1e6},
                         {"after_kb", resident_kilobytes(host.process->pid())}})
                  << std::endl;
    }

private:
    test::fleet m_fleet;
    std::string m_engine;
    std::string m_service;
};

} // namespace
} // namespace daleshelf::benchmark

int main()
{
    daleshelf::benchmark::overhead measured;
    for (const int callers : {1, 64, 512})
    {
        measured.measure_calls(callers);
    }
    for (const int streams : {64, 512})
    {
        measured.measure_streams(streams);
    }
    return 0;
}
