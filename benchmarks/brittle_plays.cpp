/// @file
/// Simulates a fleet and a service of brittle upstreams with many seeds, and
/// prints their crashes and the use of their slots.
#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <upstream_limits/brittle_fleet.hpp>

namespace
{

namespace options = boost::program_options;
using daleshelf::brittle_fault;
using daleshelf::brittle_scenario;
using daleshelf::brittle_strategy;

options::options_description describe_options()
{
    options::options_description all("brittle_plays [OPTION...]");
    auto add = all.add_options();
    add("help", "prints this help");
    add("hosts", options::value<int>()->default_value(72), "number of hosts");
    add("halls", options::value<int>()->default_value(4), "number of halls");
    add("servers", options::value<int>()->default_value(5),
        "number of upstreams");
    add("slots", options::value<int>()->default_value(6),
        "requests that an upstream runs at once");
    add("work", options::value<double>()->default_value(0.06),
        "mean time of a request, in seconds");
    add("rejections", options::value<int>()->default_value(1),
        "rejections a second that an upstream tolerates");
    add("demand", options::value<double>()->default_value(171),
        "requests a second");
    add("burst", options::value<double>()->default_value(4),
        "factor of the demand between 10 and 20 s");
    add("trouble", options::value<std::string>()->default_value("none"),
        "at 12 s: none, kill, kill_long, kill_all, hall_cut, crash or loss");
    add("way", options::value<std::string>()->default_value("keepers"),
        "keepers (the product's), reactive, subsets or none");
    add("first-seed", options::value<std::uint32_t>()->default_value(1),
        "seed of the first run");
    add("plays", options::value<std::uint32_t>()->default_value(20),
        "number of runs, one per seed");
    return all;
}

std::vector<brittle_fault> faults_from_name(const std::string& name)
{
    using kind = brittle_fault::kind;
    static const std::map<std::string, std::vector<brittle_fault>> faults{
        {"none", {}},
        {"kill", {{kind::kill, 12, 1, 0.3}}},
        {"kill_long", {{kind::kill, 12, 6, 0.3}}},
        {"kill_all", {{kind::kill, 12, 1, 1}}},
        {"hall_cut", {{kind::hall_cut, 12, 6, 0}}},
        {"crash", {{kind::crash, 12, 0, 0.4}}},
        {"loss", {{kind::loss, 2, 28, 0}}}};
    const auto found = faults.find(name);
    if (found == faults.end())
    {
        throw options::error("unknown trouble: " + name);
    }
    return found->second;
}

brittle_strategy strategy_from_name(const std::string& name)
{
    static const std::map<std::string, brittle_strategy> strategies{
        {"none", brittle_strategy::none},
        {"reactive", brittle_strategy::reactive},
        {"subsets", brittle_strategy::subsets},
        {"keepers", brittle_strategy::keepers}};
    const auto found = strategies.find(name);
    if (found == strategies.end())
    {
        throw options::error("unknown way: " + name);
    }
    return found->second;
}

brittle_scenario scenario_from(const options::variables_map& given)
{
    brittle_scenario scenario;
    scenario.hosts = given["hosts"].as<int>();
    scenario.halls = given["halls"].as<int>();
    scenario.servers = given["servers"].as<int>();
    scenario.slots = given["slots"].as<int>();
    scenario.work = given["work"].as<double>();
    scenario.rejections = given["rejections"].as<int>();
    scenario.demand = given["demand"].as<double>();
    scenario.burst = given["burst"].as<double>();
    scenario.faults = faults_from_name(given["trouble"].as<std::string>());
    scenario.strategy = strategy_from_name(given["way"].as<std::string>());
    return scenario;
}

void print_plays(const options::variables_map& given)
{
    const auto scenario = scenario_from(given);
    const auto first = given["first-seed"].as<std::uint32_t>();
    const auto plays = given["plays"].as<std::uint32_t>();
    int plays_with_crash = 0;
    int plays_over_rule = 0;
    int most_crashes = 0;
    int early_crashes = 0;
    int crashes = 0;
    int counted = 0;
    int rejections = 0;
    double served = 0;
    double used = 0;
    double messages = 0;
    for (std::uint32_t seed = first; seed < first + plays; ++seed)
    {
        const auto result = simulate_brittle(scenario, seed);
        plays_with_crash += result.crashes > 0 ? 1 : 0;
        plays_over_rule +=
            result.counted_crashes > tolerated_crashes(scenario) ? 1 : 0;
        counted += result.counted_crashes;
        most_crashes = std::max(most_crashes, result.crashes);
        crashes += result.crashes;
        early_crashes += result.early_crashes;
        rejections += result.rejections;
        served += static_cast<double>(result.served) / result.sent;
        used += result.used_fraction;
        messages += result.messages_per_request;
    }
    std::cout << "plays " << plays << ", with a crash " << plays_with_crash
              << ", over the rule " << plays_over_rule << ", most crashes "
              << most_crashes << ", crashes " << crashes << ", of those early "
              << early_crashes << ", counted by the rule " << counted
              << ", rejections " << rejections << ", served " << served / plays
              << ", slots used " << used / plays << ", messages a request "
              << messages / plays << '\n';
}

} // namespace

int main(int count, char** values)
{
    try
    {
        const auto all = describe_options();
        options::variables_map given;
        options::store(options::parse_command_line(count, values, all), given);
        options::notify(given);
        if (given.contains("help"))
        {
            std::cout << all;
            return 0;
        }
        print_plays(given);
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
