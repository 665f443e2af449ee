/// @file
/// Plays the fleet model of deadly requests with many seeds and prints what
/// callers lose: servers that end beyond the bound, innocent requests refused.
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

// Above this part of its requests a play refused too many.
constexpr double most_refused = 0.001;

struct play_range
{
    int deadly = 0; ///< 0: fleets of any size, drawn from the seed
    std::uint32_t first_seed = 1;
    std::uint32_t plays = 100;
    unsigned jobs = 1;
    waiting_policy waiting = waiting_policy::hold;
};

struct play_totals
{
    int late_plays = 0;
    int late_tries = 0;
    long innocent = 0;
    long refused = 0;
    int refusing_plays = 0;
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

void add(play_totals& totals, const fleet_result& result)
{
    totals.late_plays += result.late_tries > 0 ? 1 : 0;
    totals.late_tries += result.late_tries;
    totals.innocent += result.innocent;
    totals.refused += result.refused_innocent;
    const bool is_refusing =
        result.refused_innocent > most_refused * result.innocent;
    totals.refusing_plays += is_refusing ? 1 : 0;
}

play_totals play_all(const play_range& range)
{
    play_totals totals;
    std::mutex mutex;
    std::atomic<std::uint32_t> next = 0;
    const auto work = [&]
    {
        for (auto index = next++; index < range.plays; index = next++)
        {
            const auto seed = range.first_seed + index;
            auto plan = plan_of(range.deadly, seed);
            plan.waiting = range.waiting;
            const auto result = fleet(plan, seed).play();
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
    play_range range;
    options::options_description known("poison_plays");
    known.add_options()("help", "print this")(
        "deadly", options::value(&range.deadly),
        "deadly requests among 8 hosts; 0: drawn fleets")(
        "first-seed", options::value(&range.first_seed),
        "first seed")("plays", options::value(&range.plays), "number of seeds")(
        "jobs", options::value(&range.jobs), "plays at a time")(
        "reject", "reject what has to wait, instead of holding it");
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
    const auto totals = play_all(range);
    std::cout << "| deadly | plays | with a late try | late tries | innocent "
                 "| refused | plays that refuse over 1 in 1,000 |\n"
              << "| " << range.deadly << " | " << range.plays << " | "
              << totals.late_plays << " | " << totals.late_tries << " | "
              << totals.innocent << " | " << totals.refused << " | "
              << totals.refusing_plays << " |\n";
    return 0;
}
