/// @file
/// What control costs: time from accepted to in force, bytes and processor
/// time of a host by the size of the fleet, claims for each append, and how
/// long a leaving upstream still gets work. See docs/MEASUREMENTS.md.
#include "load/process_figures.hpp"
#include "load/run_report.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <base/json.hpp>
#include <iostream>
#include <set>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>
#include <thread>

namespace daleshelf::benchmark
{
namespace
{

/// A fleet of entry hosts in three halls with nothing to serve.
class control_fleet
{
public:
    explicit control_fleet(int hosts)
    {
        m_fleet.start_platform();
        std::string seeds;
        std::vector<test::host_options> all;
        for (int i = 0; i < hosts; ++i)
        {
            all.push_back({absl::StrCat("entry-", i),
                           absl::StrCat("hall-", i % 3),
                           {"log.level = \"error\""},
                           m_fleet.free_port()});
            if (i < 3)
            {
                absl::StrAppend(&seeds, i == 0 ? "" : ", ", "\"",
                                m_fleet.address(), ":", all.back().peers_port,
                                "\"");
            }
        }
        for (auto& options : all)
        {
            options.settings.push_back("peers.seeds = [" + seeds + "]");
            m_fleet.start_host(options);
            m_ids.push_back(options.id);
        }
        for (const auto& id : m_ids)
        {
            test::wait_until(
                [&]
                {
                    const auto seen = parse_object(
                        m_fleet.operate(id, "GET", "/apis/v1/hosts").body);
                    return find_array(seen, "items")->size() + 1 ==
                           m_ids.size();
                },
                id + " knows all");
        }
    }

    test::fleet& fleet()
    {
        return m_fleet;
    }

    const std::vector<std::string>& ids() const
    {
        return m_ids;
    }

    /// @return milliseconds until all hosts have a change, from its sending
    double change_once(int number)
    {
        const auto id = absl::StrCat("change-", number);
        const auto start = absl::Now();
        (void)m_fleet.operate(
            m_ids.front(), "POST", "/apis/v1/changes",
            boost::json::serialize(boost::json::object{
                {"id", id},
                {"operations", boost::json::array{test::make_resource(
                                   "model", "m", {{"weights", id}})}}}));
        const auto answer = m_fleet.operate(m_ids.front(), "GET",
                                            "/apis/v1/changes/" + id +
                                                "/wait?timeout_ms=30000");
        const auto body = parse_object(answer.body);
        const auto* missing = find_array(body, "missing");
        if (missing == nullptr || !missing->empty())
        {
            return 30000;
        }
        return absl::ToDoubleMilliseconds(absl::Now() - start);
    }

private:
    test::fleet m_fleet;
    std::vector<std::string> m_ids;
};

void measure_in_force(const std::string& state, control_fleet& control,
                      int changes, int first)
{
    std::vector<double> times;
    for (int i = 0; i < changes; ++i)
    {
        if (state == "just_back")
        {
            control.fleet().set_platform_fault("log", {{"down", true}});
            absl::SleepFor(absl::Seconds(2));
            control.fleet().set_platform_fault("log", {{"down", false}});
        }
        times.push_back(control.change_once(first + i));
    }
    std::cout << boost::json::serialize(
                     boost::json::object{{"measure", "in_force"},
                                         {"log", state},
                                         {"hosts", control.ids().size()},
                                         {"changes", changes},
                                         {"p50_ms", quantile(times, 0.5)},
                                         {"p99_ms", quantile(times, 0.99)}})
              << std::endl;
}

void measure_slope(int hosts)
{
    control_fleet control(hosts);
    const auto& id = control.ids().front();
    const auto pid = control.fleet().host(id).process->pid();
    const auto bytes = [&]
    {
        const auto seen = parse_object(
            control.fleet().operate(id, "GET", "/apis/v1/hosts").body);
        return require_integer(seen, "bytes_sent") +
               require_integer(seen, "bytes_received");
    };
    absl::SleepFor(absl::Seconds(3));
    const auto bytes_before = bytes();
    const auto processor_before = processor_seconds(pid);
    constexpr int seconds = 15;
    absl::SleepFor(absl::Seconds(seconds));
    std::cout
        << boost::json::serialize(boost::json::object{
               {"measure", "control_slope"},
               {"hosts", hosts},
               {"peer_bytes_per_second", (bytes() - bytes_before) / seconds},
               {"processor_percent",
                (processor_seconds(pid) - processor_before) / seconds * 100},
               {"resident_kb", resident_kilobytes(pid)}})
        << std::endl;
}

/// Time from a notice to the last request that an upstream received.
void measure_leaving()
{
    control_fleet control(6);
    auto& fleet = control.fleet();
    boost::json::array resources{test::make_workspace("studio", "key"),
                                 test::make_resource("service", "index", {})};
    for (const auto* name : {"one", "two"})
    {
        resources.push_back(
            test::make_resource("upstream", name,
                                {{"type", "service"},
                                 {"url", fleet.start_service(name)},
                                 {"hall", "hall-0"},
                                 {"host", name},
                                 {"service", "index"}}));
        (void)fleet.send("POST", fleet.platform_url() + "/hosts",
                         boost::json::serialize(boost::json::object{
                             {"id", name}, {"hall", "hall-0"}}));
    }
    fleet.apply(control.ids().front(), resources);
    for (const auto& id : control.ids())
    {
        fleet.wait_until_current(id);
    }
    const auto received = [&]
    {
        const auto answer =
            fleet.send("GET", fleet.standin("one").url + "/standin/received");
        const auto body = parse_object(answer.body);
        return find_array(body, "received")->size();
    };
    std::atomic<bool> is_over = false;
    std::vector<std::thread> callers;
    for (const auto& id : control.ids())
    {
        callers.emplace_back(
            [&, url = fleet.host(id).callers_url]
            {
                for (int i = 0; !is_over; ++i)
                {
                    (void)fleet.send("GET",
                                     absl::StrCat(url, "/services/index/", i),
                                     "", {{"Authorization", "Bearer key"}});
                }
            });
    }
    absl::SleepFor(absl::Seconds(1));
    (void)fleet.send("POST", fleet.platform_url() + "/cloud/reclaims",
                     R"({"host":"one","notice_ms":20000})");
    const auto start = absl::Now();
    auto last_count = received();
    auto last_change = start;
    while (absl::Now() - last_change < absl::Seconds(3))
    {
        absl::SleepFor(absl::Milliseconds(10));
        const auto count = received();
        if (count != last_count)
        {
            last_count = count;
            last_change = absl::Now();
        }
    }
    is_over = true;
    for (auto& caller : callers)
    {
        caller.join();
    }
    std::cout << boost::json::serialize(boost::json::object{
                     {"measure", "leaving_upstream"},
                     {"hosts", control.ids().size()},
                     {"last_new_work_ms",
                      absl::ToDoubleMilliseconds(last_change - start)}})
              << std::endl;
}

/// Claims that one append carries when many callers use keys at once.
void measure_claims(int callers)
{
    control_fleet control(3);
    auto& fleet = control.fleet();
    fleet.apply(control.ids().front(),
                {test::make_workspace("studio", "key"),
                 test::make_resource("service", "index", {}),
                 test::make_resource("upstream", "index",
                                     {{"type", "service"},
                                      {"url", fleet.start_service("index")},
                                      {"hall", "hall-0"},
                                      {"max_concurrency", 5000},
                                      {"service", "index"}})});
    for (const auto& id : control.ids())
    {
        fleet.wait_until_current(id);
    }
    const auto appends = [&]
    {
        const auto answer =
            fleet.send("GET", fleet.platform_url() + "/log/statistics");
        return require_integer(parse_object(answer.body), "appends");
    };
    absl::SleepFor(absl::Seconds(1));
    const auto appends_before = appends();
    const auto start = absl::Now();
    const auto end = start + absl::Seconds(5);
    std::atomic<int> settled = 0;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
    {
        const auto& id =
            control
                .ids()[static_cast<std::size_t>(caller) % control.ids().size()];
        threads.emplace_back(
            [&, caller, url = fleet.host(id).callers_url]
            {
                for (int i = 0; absl::Now() < end; ++i)
                {
                    const auto answer = fleet.send(
                        "POST", url + "/services/index/publish", "{}",
                        {{"Authorization", "Bearer key"},
                         {"Idempotency-Key",
                          absl::StrCat("k", caller, "-", i)}});
                    settled += answer.status == 200 ? 1 : 0;
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    const auto seconds = absl::ToDoubleSeconds(absl::Now() - start);
    std::cout << boost::json::serialize(boost::json::object{
                     {"measure", "claims"},
                     {"callers", callers},
                     {"claims_per_second", settled / seconds},
                     {"appends_per_second",
                      static_cast<double>(appends() - appends_before) /
                          seconds}})
              << std::endl;
}

} // namespace
} // namespace daleshelf::benchmark

int main(int argc, char** argv)
{
    using namespace daleshelf::benchmark;
    // Parts can be named: slope, in_force, leaving, claims.
    const std::set<std::string> named(argv + 1, argv + argc);
    const auto is_wanted = [&named](const std::string& part)
    { return named.empty() || named.contains(part); };
    for (const int hosts : {2, 4, 8, 16, 32})
    {
        if (is_wanted("slope"))
        {
            measure_slope(hosts);
        }
    }
    if (is_wanted("in_force"))
    {
        control_fleet control(6);
        measure_in_force("healthy", control, 100, 0);
        control.fleet().set_platform_fault("log", {{"slow_ms", 300}});
        measure_in_force("slow_300_ms", control, 30, 1000);
        control.fleet().set_platform_fault("log", {{"slow_ms", 0}});
        measure_in_force("just_back", control, 8, 2000);
    }
    if (is_wanted("leaving"))
    {
        measure_leaving();
    }
    for (const int callers : {3, 30, 120})
    {
        if (is_wanted("claims"))
        {
            measure_claims(callers);
        }
    }
    return 0;
}
