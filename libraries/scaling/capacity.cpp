#include "capacity.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr double ms_per_second = 1000;
// Above this utilization any variation of the load builds up queues.
constexpr double max_utilization = 0.85;
// Squared coefficient of variation of the time between arrivals, twice that of
// independent arrivals: users act in groups.
constexpr double arrival_variation = 2;
// Routing by loads that are up to 250 ms old performs about like a choice of
// the better of two upstreams that have a queue each.
constexpr double effective_servers = 2;
// Limit of the mean interval between events, as a fraction of the objective:
// prompts that are read in between make single intervals longer.
constexpr double mean_gap_fraction = 0.7;

/// Mean and variation of the time to read a prompt.
struct read_time_moments
{
    double mean = 0;      ///< in ms
    double variation = 0; ///< squared coefficient of variation
};

read_time_moments read_time_of(const service_work& load,
                               const engine_estimate& engine)
{
    read_time_moments time;
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

// @return number of generations that one upstream can run at the same time
// while the interval between events meets its objective
double usable_slots(const engine_estimate& engine,
                    const capacity_options& options)
{
    const double slots = std::max(1, options.slots);
    if (options.gap_objective_ms <= 0 || engine.gap_ms_per_generation <= 0)
    {
        return slots;
    }
    const auto slack =
        options.gap_objective_ms * mean_gap_fraction - engine.gap_ms;
    if (slack <= 0)
    {
        // Even a single generation misses the objective, so running fewer does
        // not help.
        return slots;
    }
    return std::clamp(1 + slack / engine.gap_ms_per_generation, 1.0, slots);
}

/// Distribution of the time that a prompt waits for other prompts.
class queueing_delay
{
public:
    queueing_delay(double utilization, const read_time_moments& time)
    {
        // 1. Probability of any wait: Sakasegawa, 1977.
        m_wait_probability =
            std::pow(utilization, std::sqrt(2 * (effective_servers + 1)) - 1);
        // 2. Mean wait of the prompts that wait: Kingman's bound for several
        // upstreams.
        m_mean_ms = (arrival_variation + time.variation) / 2 * time.mean /
                    (effective_servers * (1 - utilization));
    }

    /// @return probability of a wait of more than `ms` milliseconds
    [[nodiscard]] double probability_above(double ms) const
    {
        return m_mean_ms > 0 ? m_wait_probability * std::exp(-ms / m_mean_ms)
                             : 0;
    }

private:
    double m_wait_probability;
    double m_mean_ms;
};

// @return the fraction of prompts that miss their objective, among those that
// can meet it
double late_part(const queueing_delay& delay, const engine_estimate& engine,
                 const std::vector<prompt_sample>& samples)
{
    double late = 0;
    double feasible = 0;
    for (const auto& sample : samples)
    {
        const auto slack =
            sample.objective_ms - engine.first_event_ms(sample.read_tokens);
        if (slack > 0)
        {
            feasible += 1;
            late += delay.probability_above(slack);
        }
    }
    return feasible > 0 ? late / feasible : 0;
}

} // namespace

server_need servers_needed(const service_work& load,
                           const engine_estimate& engine,
                           const std::vector<prompt_sample>& samples,
                           const capacity_options& options)
{
    // 1. The minimum keeps up with the arriving work: it has the time to read
    // the prompts and the slots to generate the responses.
    const auto time = read_time_of(load, engine);
    const auto read_load = load.prompts * time.mean / ms_per_second;
    const auto generation_load =
        load.allowed_tokens * engine.generation_ms_per_token / ms_per_second;
    const auto slot_load =
        (read_load + generation_load) / usable_slots(engine, options);
    const auto server_limit = std::max(1, options.server_limit);
    server_need need;
    need.minimum =
        std::clamp(static_cast<int>(std::ceil(std::max(read_load, slot_load) /
                                              max_utilization)),
                   1, server_limit);
    // 2. The preferred number is raised until few prompts wait for too long.
    need.preferred = need.minimum;
    while (need.preferred < server_limit &&
           late_part(queueing_delay(read_load / need.preferred, time), engine,
                     samples) > options.late_part)
    {
        ++need.preferred;
    }
    return need;
}

int limit_shortfall(const service_work& load, int needed,
                    const std::vector<double>& limits)
{
    const auto even_share = load.prompts / std::max(1, needed);
    double shortfall = 0;
    for (const auto limit : limits)
    {
        shortfall +=
            even_share > 0 ? std::max(0.0, 1 - limit / even_share) : 0.0;
    }
    return static_cast<int>(std::lround(shortfall));
}

} // namespace daleshelf
