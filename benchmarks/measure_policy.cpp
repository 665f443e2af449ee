/// @file
/// Measures routing and admission under load with a reclaim wave: one JSON
/// line a run. See docs/MEASUREMENTS.md.
#include "load/load_driver.hpp"
#include "load/run_report.hpp"
#include "load/workload.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <boost/program_options.hpp>

#include <algorithm>
#include <base/json.hpp>
#include <csignal>
#include <iostream>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>
#include <thread>

namespace daleshelf::benchmark
{
namespace
{

/// What is measured.
struct run_options
{
    std::string mix = "camav";
    std::string routing = "affinity";
    double rate = 60;
    int seconds = 12;
    std::uint64_t seed = 1;
    bool has_wave = true;
    double flood_rate = 0; ///< further requests a second of one workspace
    std::string flood;     ///< count, prompt or output
    std::string policy;    ///< further fields of the policy, as JSON
};

constexpr int engines_per_hall[] = {4, 3, 3};
constexpr int entry_hosts_per_hall = 2;
const std::vector<std::string> halls{"a", "b", "c"};
// Halls have different prices: the cheapest is the one that is reclaimed.
const std::vector<double> hall_prices{0.7, 1.0, 1.3};

/// Halls with entry hosts, engines and services, and a run on them.
class measured_run
{
public:
    explicit measured_run(const run_options& options)
        : m_options(options)
        , m_mix(options.mix == "camav" ? camav_workload() : brenta_workload())
    {
        m_fleet.start_platform();
        start_entry_hosts();
        start_upstreams();
    }

    boost::json::object run()
    {
        auto plan =
            plan_requests(m_mix, m_options.rate,
                          absl::Seconds(m_options.seconds), m_options.seed);
        add_flood(plan);
        load_driver driver(m_fleet.client(), [this] { return m_entry_urls; });
        std::thread wave(
            [this]
            {
                if (m_options.has_wave)
                {
                    reclaim_hall();
                }
            });
        const auto start = absl::Now();
        const auto samples = driver.run(plan);
        const auto held = absl::ToDoubleSeconds(absl::Now() - start);
        wave.join();
        auto report = summarize(samples, latency_target());
        if (m_options.flood_rate > 0)
        {
            add_isolation(report, samples);
        }
        for (const auto& field : count_recomputed(collect_blocks()))
        {
            report[field.key()] = field.value();
        }
        add_cost(report, held);
        report["mix"] = m_options.mix;
        report["routing"] = m_options.routing;
        report["rate"] = m_options.rate;
        report["seed"] = m_options.seed;
        report["seconds"] = m_options.seconds;
        report["wave"] = m_options.has_wave;
        return report;
    }

private:
    /// One workspace sends much more than its share.
    void add_flood(std::vector<planned_request>& plan) const
    {
        if (m_options.flood_rate <= 0)
        {
            return;
        }
        workload mix;
        const bool is_long_prompt = m_options.flood == "prompt";
        const bool is_long_output = m_options.flood == "output";
        mix.kinds = {{1, 0, is_long_prompt ? 1500 : 100,
                      is_long_output ? 300 : 20, "normal", false}};
        mix.workspace_shares = {1};
        auto flood = plan_requests(mix, m_options.flood_rate,
                                   absl::Seconds(m_options.seconds),
                                   m_options.seed + 1000);
        for (auto& request : flood)
        {
            request.workspace = flooder;
            request.prompt = "flood " + request.prompt;
            plan.push_back(std::move(request));
        }
        std::sort(plan.begin(), plan.end(),
                  [](const planned_request& left, const planned_request& right)
                  { return left.at < right.at; });
    }

    /// What the others met.
    static void add_isolation(boost::json::object& report,
                              const std::vector<request_sample>& samples)
    {
        std::vector<request_sample> others;
        std::copy_if(samples.begin(), samples.end(), std::back_inserter(others),
                     [](const request_sample& sample)
                     { return sample.workspace != flooder; });
        for (const auto& field : summarize(others, latency_target()))
        {
            report["others_" + std::string(field.key())] = field.value();
        }
    }

    static constexpr const char* flooder = "workspace-4";

    void start_entry_hosts()
    {
        std::vector<test::host_options> all;
        std::string seeds;
        for (const auto& hall : halls)
        {
            for (int i = 0; i < entry_hosts_per_hall; ++i)
            {
                all.push_back({absl::StrCat("entry-", hall, i),
                               hall,
                               {"log.level = \"error\""},
                               m_fleet.free_port()});
                absl::StrAppend(&seeds, seeds.empty() ? "" : ", ", "\"",
                                m_fleet.address(), ":", all.back().peers_port,
                                "\"");
            }
        }
        for (auto& options : all)
        {
            options.settings.push_back("peers.seeds = [" + seeds + "]");
            m_entry_urls.push_back(m_fleet.start_host(options).callers_url);
            m_entry_ids.push_back(options.id);
        }
    }

    void start_upstreams()
    {
        boost::json::array resources;
        for (std::size_t i = 0; i < m_mix.workspace_shares.size(); ++i)
        {
            const auto name = absl::StrCat("workspace-", i);
            resources.push_back(test::make_workspace(name, "key-" + name));
        }
        resources.push_back(
            test::make_resource("deployment", "captions", {{"model", "m"}}));
        resources.push_back(test::make_resource("service", "index", {}));
        for (std::size_t hall = 0; hall < halls.size(); ++hall)
        {
            for (int i = 0; i < engines_per_hall[hall]; ++i)
            {
                add_engine(hall, i, resources);
            }
            const auto name = "index-" + halls[hall];
            resources.push_back(
                test::make_resource("upstream", name,
                                    {{"type", "service"},
                                     {"url", m_fleet.start_service(name)},
                                     {"hall", halls[hall]},
                                     {"service", "index"}}));
        }
        boost::json::object policy{{"routing", m_options.routing}};
        if (!m_options.policy.empty())
        {
            for (const auto& field : parse_object(m_options.policy))
            {
                policy[field.key()] = field.value();
            }
        }
        resources.push_back(
            test::make_resource("policy", "default", std::move(policy)));
        m_fleet.apply(m_entry_ids.front(), resources);
        for (const auto& id : m_entry_ids)
        {
            m_fleet.wait_until_current(id);
        }
    }

    void add_engine(std::size_t hall, int number, boost::json::array& resources)
    {
        const auto name = absl::StrCat("engine-", halls[hall], number);
        // About a tenth of a current accelerator's speed, so that ten engines
        // fit into one machine; the ratio of prefill to decoding is kept.
        const auto url = m_fleet.start_engine(
            name, {"--model", "m", "--step-us", "10000", "--decode-us", "200",
                   "--prefill-us", "100", "--prefill-tokens", "256",
                   "--cache-blocks", "1200", "--kv-block-us", "100"});
        auto engine = test::make_engine(name, halls[hall], url, "m");
        auto& body = engine["body"].as_object();
        body["price_per_hour"] = hall_prices[hall];
        body["max_concurrency"] = 32;
        resources.push_back(std::move(engine));
        m_engines.push_back({name, hall});
        (void)m_fleet.send("POST", m_fleet.platform_url() + "/hosts",
                           boost::json::serialize(boost::json::object{
                               {"id", name}, {"hall", halls[hall]}}));
    }

    /// The cheapest hall goes, with three seconds of notice.
    void reclaim_hall()
    {
        constexpr int notice_ms = 3000;
        absl::SleepFor(absl::Seconds(m_options.seconds) / 3);
        (void)m_fleet.send("POST", m_fleet.platform_url() + "/cloud/reclaims",
                           boost::json::serialize(boost::json::object{
                               {"hall", halls[0]}, {"notice_ms", notice_ms}}));
        absl::SleepFor(absl::Milliseconds(notice_ms));
        for (const auto& engine : m_engines)
        {
            if (engine.hall == 0)
            {
                collect_blocks_of(engine.name);
                m_fleet.standin(engine.name).process->send(SIGKILL);
            }
        }
        m_wave_seconds =
            absl::ToDoubleSeconds(absl::Seconds(m_options.seconds) / 3) +
            static_cast<double>(notice_ms) / 1000;
    }

    void collect_blocks_of(const std::string& engine)
    {
        const auto answer = m_fleet.send("GET", m_fleet.standin(engine).url +
                                                    "/standin/computed");
        const auto body = parse_object(answer.body);
        for (const auto& entry : *find_array(body, "computed"))
        {
            const auto& item = entry.as_object();
            m_blocks.push_back({require_integer(item, "time_us"),
                                item.at("block").to_number<std::uint64_t>(),
                                require_string(item, "attempt")});
        }
    }

    std::vector<computed_block> collect_blocks()
    {
        for (const auto& engine : m_engines)
        {
            const bool is_gone = m_options.has_wave && engine.hall == 0;
            if (!is_gone)
            {
                collect_blocks_of(engine.name);
            }
        }
        return m_blocks;
    }

    /// Price times time held, over answers in target.
    void add_cost(boost::json::object& report, double held) const
    {
        constexpr double seconds_per_hour = 3600;
        constexpr double thousand = 1000;
        double cost = 0;
        for (const auto& engine : m_engines)
        {
            const bool is_gone = m_options.has_wave && engine.hall == 0;
            cost += hall_prices[engine.hall] *
                    (is_gone ? m_wave_seconds : held) / seconds_per_hour;
        }
        const auto in_target =
            static_cast<double>(report["in_target"].as_int64());
        report["cost_per_thousand"] = cost / in_target * thousand;
    }

    struct placed_engine
    {
        std::string name;
        std::size_t hall = 0;
    };

    run_options m_options;
    workload m_mix;
    test::fleet m_fleet;
    std::vector<std::string> m_entry_urls;
    std::vector<std::string> m_entry_ids;
    std::vector<placed_engine> m_engines;
    std::vector<computed_block> m_blocks;
    double m_wave_seconds = 0;
};

int run_all(const run_options& options, const std::string& routings,
            int repeats)
{
    const std::vector<std::string> names = absl::StrSplit(routings, ',');
    for (int repeat = 0; repeat < repeats; ++repeat)
    {
        for (const auto& name : names)
        {
            auto one = options;
            one.routing = name;
            one.seed = options.seed + static_cast<std::uint64_t>(repeat);
            measured_run run(one);
            std::cout << boost::json::serialize(run.run()) << std::endl;
        }
    }
    return 0;
}

} // namespace
} // namespace daleshelf::benchmark

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    daleshelf::benchmark::run_options run;
    std::string routings;
    int repeats = 0;
    bool is_calm = false;
    options::options_description description("Measures routing under load");
    auto add = description.add_options();
    add("help", "show the options");
    add("mix", options::value(&run.mix)->default_value("camav"),
        "camav or brenta");
    add("routings",
        options::value(&routings)->default_value(
            "affinity,least_in_flight,round_robin"),
        "policies to compare, in one run");
    add("rate", options::value(&run.rate)->default_value(60),
        "requests a second");
    add("seconds", options::value(&run.seconds)->default_value(12),
        "length of a run");
    add("seed", options::value(&run.seed)->default_value(1), "first seed");
    add("repeats", options::value(&repeats)->default_value(1),
        "runs of each policy, each with another seed");
    add("policy", options::value(&run.policy),
        "further fields of the policy, as a JSON object");
    add("flood", options::value(&run.flood)->default_value("count"),
        "how one workspace floods: count, prompt or output");
    add("flood-rate", options::value(&run.flood_rate)->default_value(0),
        "its further requests a second; 0: none");
    add("calm", options::bool_switch(&is_calm), "without a reclaim wave");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    if (values.count("help") > 0)
    {
        std::cout << description;
        return 0;
    }
    run.has_wave = !is_calm;
    return daleshelf::benchmark::run_all(run, routings, repeats);
}
