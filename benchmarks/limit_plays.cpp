/// @file
/// Plays the fleet model of an upstream that names a limit with many seeds and
/// prints what it got against what it allows.
#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <upstream_limits/limit_fleet.hpp>

namespace
{

namespace options = boost::program_options;
using daleshelf::limit_outcome;
using daleshelf::limit_trouble;
using daleshelf::limit_way;

options::options_description describe_options()
{
    options::options_description all("limit_plays [OPTION...]");
    auto add = all.add_options();
    add("help", "shows this text");
    add("hosts", options::value<int>()->default_value(0),
        "of the fleet; 0: drawn, as are limit and demand");
    add("halls", options::value<int>()->default_value(3), "of the fleet");
    add("limit", options::value<double>()->default_value(1),
        "requests a second that the upstream names from 2 s on");
    add("demand", options::value<double>()->default_value(4),
        "against the limit");
    add("trouble", options::value<std::string>()->default_value("none"),
        "at 8 s: none, kill, kill_all, freeze, hall_cut, split or "
        "loss");
    add("way", options::value<std::string>()->default_value("keepers"),
        "keepers (the product's), shares, owner or unlimited");
    add("first-seed", options::value<std::uint32_t>()->default_value(1),
        "of the first play");
    add("plays", options::value<std::uint32_t>()->default_value(20),
        "one a seed");
    return all;
}

std::vector<limit_trouble> troubles_named(const std::string& name)
{
    using kind = limit_trouble::kind;
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
    throw options::error("no such trouble: " + name);
}

limit_way way_named(const std::string& name)
{
    static const std::map<std::string, limit_way> ways{
        {"keepers", limit_way::keepers},
        {"shares", limit_way::shares},
        {"owner", limit_way::owner},
        {"unlimited", limit_way::unlimited}};
    const auto found = ways.find(name);
    if (found == ways.end())
    {
        throw options::error("no such way: " + name);
    }
    return found->second;
}

double part_of(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(part * last)];
}

void print(const std::vector<limit_outcome>& outcomes)
{
    const auto column = [&](double limit_outcome::*member)
    {
        std::vector<double> values;
        values.reserve(outcomes.size());
        for (const auto& outcome : outcomes)
        {
            values.push_back(outcome.*member);
        }
        return values;
    };
    const auto over = column(&limit_outcome::most_over);
    const auto fullest = column(&limit_outcome::fullest);
    const auto used = column(&limit_outcome::used);
    std::cout << "plays " << outcomes.size() << "\nplays over the rule "
              << std::count_if(over.begin(), over.end(),
                               [](double value) { return value > 0; })
              << "\nmost requests over it " << part_of(over, 1)
              << "\nfullest window against the rule: median "
              << part_of(fullest, 0.5) << ", 99th percentile "
              << part_of(fullest, 0.99) << ", most " << part_of(fullest, 1)
              << "\npart of the limit used: least " << part_of(used, 0)
              << ", 5th percentile " << part_of(used, 0.05) << ", median "
              << part_of(used, 0.5) << "\nseconds until all hosts knew: median "
              << part_of(column(&limit_outcome::learned_by_all), 0.5)
              << ", most " << part_of(column(&limit_outcome::learned_by_all), 1)
              << "\ngossip, bytes a second and host: median "
              << part_of(column(&limit_outcome::gossip_bytes), 0.5)
              << "\nasks for each request that arrived: median "
              << part_of(column(&limit_outcome::asks), 0.5) << '\n';
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
        std::vector<limit_outcome> outcomes;
        const auto first = chosen["first-seed"].as<std::uint32_t>();
        const auto plays = chosen["plays"].as<std::uint32_t>();
        const auto troubles =
            troubles_named(chosen["trouble"].as<std::string>());
        const auto way = way_named(chosen["way"].as<std::string>());
        for (auto seed = first; seed < first + plays; ++seed)
        {
            auto plan = daleshelf::drawn_limit_plan(seed);
            if (const auto hosts = chosen["hosts"].as<int>(); hosts > 0)
            {
                const auto limit = chosen["limit"].as<double>();
                plan.hosts = hosts;
                plan.halls = chosen["halls"].as<int>();
                plan.steps = {{2, limit}};
                plan.demand = limit * chosen["demand"].as<double>();
            }
            plan.troubles = troubles;
            plan.way = way;
            outcomes.push_back(daleshelf::play_limits(plan, seed));
        }
        print(outcomes);
        return 0;
    }
    catch (const options::error& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
