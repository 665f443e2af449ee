/// @file
/// Simulates fleets with deadly requests for many seeds and prints the losses:
/// attempts beyond the bound on crashes, and innocent requests rejected.
#include <boost/program_options.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <poison/poison_fleet.hpp>
#include <thread>

namespace
{

using namespace daleshelf;
namespace options = boost::program_options;

// Largest share of innocent requests that a simulation may reject.
constexpr double rejection_limit = 0.001;

struct simulation_options
{
    int deadly = 0; ///< 0: fleets drawn from the seed
    std::uint32_t first_seed = 1;
    std::uint32_t simulations = 100;
    unsigned jobs = 1;
    waiting_policy waiting = waiting_policy::hold;
};

struct simulation_totals
{
    int late_simulations = 0;
    int late_attempts = 0;
    long innocent = 0;
    long rejected = 0;
    int rejecting_simulations = 0;
};

fleet_plan plan_of(int deadly, std::uint32_t seed)
{
    if (deadly == 0)
    {
        return drawn_plan(seed);
    }
    fleet_plan plan;
    plan.requests_per_s = 7.0 * plan.servers;
    plan.contents = 40 * plan.servers;
    plan.deadly = deadly;
    plan.seconds = 12;
    return plan;
}

void add(simulation_totals& totals, const fleet_result& result)
{
    totals.late_simulations += result.late_attempts > 0 ? 1 : 0;
    totals.late_attempts += result.late_attempts;
    totals.innocent += result.innocent;
    totals.rejected += result.rejected_innocent;
    const bool exceeds_limit =
        result.rejected_innocent > rejection_limit * result.innocent;
    totals.rejecting_simulations += exceeds_limit ? 1 : 0;
}

simulation_totals simulate_all(const simulation_options& range)
{
    simulation_totals totals;
    std::mutex mutex;
    std::atomic<std::uint32_t> next = 0;
    const auto work = [&]
    {
        for (auto index = next++; index < range.simulations; index = next++)
        {
            const auto seed = range.first_seed + index;
            auto plan = plan_of(range.deadly, seed);
            plan.waiting = range.waiting;
            const auto result = fleet(plan, seed).simulate();
            const std::lock_guard lock(mutex);
            add(totals, result);
        }
    };
    std::vector<std::jthread> workers;
    for (unsigned job = 0; job < range.jobs; ++job)
    {
        workers.emplace_back(work);
    }
    workers.clear();
    return totals;
}

} // namespace

int main(int argc, char** argv)
{
    simulation_options range;
    options::options_description known("poison_plays");
    known.add_options()("help", "print this help")(
        "deadly", options::value(&range.deadly),
        "deadly requests at 8 hosts; 0: fleets drawn from the seed")(
        "first-seed", options::value(&range.first_seed), "first seed")(
        "plays", options::value(&range.simulations), "number of seeds")(
        "jobs", options::value(&range.jobs), "simulations at a time")(
        "reject", "reject requests that have to wait instead of holding them");
    try
    {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.contains("help"))
        {
            std::cout << known;
            return 0;
        }
        range.waiting = given.contains("reject") ? waiting_policy::reject
                                                 : waiting_policy::hold;
    }
    catch (const options::error& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
    const auto totals = simulate_all(range);
    std::cout << "| deadly | simulations | with a late attempt | late attempts "
                 "| innocent | rejected | rejecting over 1 in 1,000 |\n"
              << "| " << range.deadly << " | " << range.simulations << " | "
              << totals.late_simulations << " | " << totals.late_attempts
              << " | " << totals.innocent << " | " << totals.rejected << " | "
              << totals.rejecting_simulations << " |\n";
    return 0;
}
