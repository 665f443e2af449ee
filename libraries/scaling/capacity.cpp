#include "capacity.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr double ms_per_second = 1000;
// Servers that are fuller than this hold work up with any variation.
constexpr double fullest = 0.85;
// Arrivals vary twice as much as if they were independent: users act in groups.
constexpr double arrival_variation = 2;
// Choosing by loads that are up to a quarter second old is about as good as
// the better of two servers, each with a queue of its own.
constexpr double servers_in_choice = 2;
// The pause between two events stays below this part of what is allowed, on
// average: prompts read in between make single pauses longer.
constexpr double gap_part = 0.7;

/// How long prompts are read, in ms.
struct reading_time
{
    double mean = 0;
    double variation = 0; ///< variance against the square of the mean
};

reading_time time_to_read(const service_work& load,
                          const engine_estimate& engine)
{
    reading_time time;
    if (load.prompts <= 0 || load.read_tokens <= 0)
    {
        return time;
    }
    const auto mean_tokens = load.read_tokens / load.prompts;
    const auto mean_square = load.read_tokens_squared / load.prompts;
    time.mean = mean_tokens * engine.read_ms_per_token;
    time.variation =
        std::max(0.0, mean_square / (mean_tokens * mean_tokens) - 1);
    return time;
}

// Generations that one server can run without pauses that are too long.
double usable_slots(const engine_estimate& engine,
                    const capacity_options& options)
{
    const double slots = std::max(1, options.slots);
    if (options.gap_objective_ms <= 0 || engine.gap_ms_per_generation <= 0)
    {
        return slots;
    }
    const auto spare = options.gap_objective_ms * gap_part - engine.gap_ms;
    if (spare <= 0)
    {
        // A generation alone pauses for too long: fewer would not help it.
        return slots;
    }
    return std::clamp(1 + spare / engine.gap_ms_per_generation, 1.0, slots);
}

/// Waiting for the prompts of others, with a number of servers.
class waiting
{
public:
    waiting(double fill, const reading_time& time)
    {
        // 1. The chance to wait at all: Sakasegawa, 1977.
        m_chance = std::pow(fill, std::sqrt(2 * (servers_in_choice + 1)) - 1);
        // 2. How long those wait that do: Kingman's bound for several servers.
        m_mean_ms = (arrival_variation + time.variation) / 2 * time.mean /
                    (servers_in_choice * (1 - fill));
    }

    /// @return the chance to wait for longer than that
    [[nodiscard]] double longer_than(double ms) const
    {
        return m_mean_ms > 0 ? m_chance * std::exp(-ms / m_mean_ms) : 0;
    }

private:
    double m_chance;
    double m_mean_ms;
};

// @return of the prompts that can meet their objective, the part that misses it
double late_part(const waiting& waits, const engine_estimate& engine,
                 const std::vector<prompt_sample>& samples)
{
    double late = 0;
    double able = 0;
    for (const auto& sample : samples)
    {
        const auto spare =
            sample.objective_ms - engine.first_event_ms(sample.read_tokens);
        if (spare > 0)
        {
            able += 1;
            late += waits.longer_than(spare);
        }
    }
    return able > 0 ? late / able : 0;
}

} // namespace

server_need servers_needed(const service_work& load,
                           const engine_estimate& engine,
                           const std::vector<prompt_sample>& samples,
                           const capacity_options& options)
{
    // 1. What must be there so that no work piles up: time to read, and places
    // for the answers.
    const auto time = time_to_read(load, engine);
    const auto reading = load.prompts * time.mean / ms_per_second;
    const auto generating =
        load.allowed_tokens * engine.generation_ms_per_token / ms_per_second;
    const auto places = (reading + generating) / usable_slots(engine, options);
    const auto most = std::max(1, options.most);
    server_need need;
    need.least = std::clamp(
        static_cast<int>(std::ceil(std::max(reading, places) / fullest)), 1,
        most);
    // 2. More, until few wait for too long.
    need.usual = need.least;
    while (need.usual < most && late_part(waiting(reading / need.usual, time),
                                          engine, samples) > options.late_part)
    {
        ++need.usual;
    }
    return need;
}

int servers_lacking(const service_work& load, int needed,
                    const std::vector<double>& limits)
{
    const auto usual = load.prompts / std::max(1, needed);
    double lacking = 0;
    for (const auto limit : limits)
    {
        lacking += usual > 0 ? std::max(0.0, 1 - limit / usual) : 0.0;
    }
    return static_cast<int>(std::lround(lacking));
}

} // namespace daleshelf
