/// @file
/// Simulates a fleet and an upstream that advertises a limit with many seeds,
/// and prints the received requests relative to the limit.
#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <upstream_limits/limit_fleet.hpp>

namespace
{

namespace options = boost::program_options;
using daleshelf::limit_result;
using daleshelf::limit_scenario_fault;
using daleshelf::limit_strategy;

options::options_description describe_options()
{
    options::options_description all("limit_plays [OPTION...]");
    auto add = all.add_options();
    add("help", "prints this help");
    add("hosts", options::value<int>()->default_value(0),
        "number of hosts; 0: random hosts, limit and demand");
    add("halls", options::value<int>()->default_value(3), "number of halls");
    add("limit", options::value<double>()->default_value(1),
        "requests per second that the upstream advertises from 2 s on");
    add("demand", options::value<double>()->default_value(4),
        "as a multiple of the limit");
    add("trouble", options::value<std::string>()->default_value("none"),
        "at 8 s: none, kill, kill_all, freeze, hall_cut, split or "
        "loss");
    add("way", options::value<std::string>()->default_value("keepers"),
        "keepers (the product's), shares, owner or unlimited");
    add("first-seed", options::value<std::uint32_t>()->default_value(1),
        "seed of the first run");
    add("plays", options::value<std::uint32_t>()->default_value(20),
        "number of runs, one per seed");
    return all;
}

std::vector<limit_scenario_fault> faults_from_name(const std::string& name)
{
    using kind = limit_scenario_fault::kind;
    if (name == "none")
    {
        return {};
    }
    if (name == "kill")
    {
        return {{kind::kill, 8, 1, 0.3}};
    }
    if (name == "kill_all")
    {
        return {{kind::kill, 8, 1, 1}};
    }
    if (name == "freeze")
    {
        return {{kind::freeze, 8, 2, 0.3}};
    }
    if (name == "hall_cut")
    {
        return {{kind::hall_cut, 8, 6, 0}};
    }
    if (name == "split")
    {
        return {{kind::split, 8, 10, 0}};
    }
    if (name == "loss")
    {
        return {{kind::loss, 2, 18, 0}};
    }
    throw options::error("unknown trouble: " + name);
}

limit_strategy strategy_from_name(const std::string& name)
{
    static const std::map<std::string, limit_strategy> strategies{
        {"keepers", limit_strategy::keepers},
        {"shares", limit_strategy::shares},
        {"owner", limit_strategy::owner},
        {"unlimited", limit_strategy::unlimited}};
    const auto found = strategies.find(name);
    if (found == strategies.end())
    {
        throw options::error("unknown way: " + name);
    }
    return found->second;
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(fraction * last)];
}

void print(const std::vector<limit_result>& results)
{
    const auto column = [&](double limit_result::*member)
    {
        std::vector<double> values;
        values.reserve(results.size());
        for (const auto& result : results)
        {
            values.push_back(result.*member);
        }
        return values;
    };
    const auto excess = column(&limit_result::max_excess);
    const auto max_window_use = column(&limit_result::max_window_use);
    const auto used_fraction = column(&limit_result::used_fraction);
    std::cout << "runs " << results.size() << "\nruns over the rule "
              << std::count_if(excess.begin(), excess.end(),
                               [](double value) { return value > 0; })
              << "\nmaximum requests over it " << quantile(excess, 1)
              << "\nfullest window as a fraction of the rule: median "
              << quantile(max_window_use, 0.5) << ", 99th percentile "
              << quantile(max_window_use, 0.99) << ", maximum "
              << quantile(max_window_use, 1)
              << "\nused fraction of the limit: minimum "
              << quantile(used_fraction, 0) << ", 5th percentile "
              << quantile(used_fraction, 0.05) << ", median "
              << quantile(used_fraction, 0.5)
              << "\nseconds until all hosts knew the limit: median "
              << quantile(column(&limit_result::convergence_seconds), 0.5)
              << ", maximum "
              << quantile(column(&limit_result::convergence_seconds), 1)
              << "\ngossip, bytes per second and host: median "
              << quantile(column(&limit_result::gossip_bytes_per_second), 0.5)
              << "\nexchanges with keepers per arrived request: median "
              << quantile(column(&limit_result::exchanges_per_arrival), 0.5)
              << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto all = describe_options();
        options::variables_map chosen;
        options::store(options::parse_command_line(argc, argv, all), chosen);
        if (chosen.contains("help"))
        {
            std::cout << all;
            return 0;
        }
        std::vector<limit_result> results;
        const auto first = chosen["first-seed"].as<std::uint32_t>();
        const auto runs = chosen["plays"].as<std::uint32_t>();
        const auto faults =
            faults_from_name(chosen["trouble"].as<std::string>());
        const auto strategy =
            strategy_from_name(chosen["way"].as<std::string>());
        for (auto seed = first; seed < first + runs; ++seed)
        {
            auto scenario = daleshelf::random_limit_scenario(seed);
            if (const auto hosts = chosen["hosts"].as<int>(); hosts > 0)
            {
                const auto limit = chosen["limit"].as<double>();
                scenario.hosts = hosts;
                scenario.halls = chosen["halls"].as<int>();
                scenario.steps = {{2, limit}};
                scenario.demand = limit * chosen["demand"].as<double>();
            }
            scenario.faults = faults;
            scenario.strategy = strategy;
            results.push_back(daleshelf::simulate_limits(scenario, seed));
        }
        print(results);
        return 0;
    }
    catch (const options::error& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
