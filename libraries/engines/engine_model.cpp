#include "engine_model.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Corresponds to a window of 200 observations: about ten seconds for one of
// seven hosts that share 160 prompts per second, and short enough to follow a
// change of engines.
constexpr double decay = 0.995;
// Tokens are scaled to thousands and generations to tens, so that all inputs of
// a fit have the same order of magnitude.
constexpr double token_unit = 1000;
constexpr double generation_unit = 10;
// Weight of the prior, in observations at one unit: a few prompts outweigh it,
// a single one does not.
constexpr double prior_weight = 0.5;
// The fraction of the peers' reported tokens that is still queued has a
// stronger prior: most requests find none queued.
constexpr double strong_prior_weight = 10;
// Weights of the priors of generations, in tokens, and of doubtful tokens, in
// thousands.
constexpr double prior_tokens = 500;
constexpr double prior_doubtful_tokens = 5;
// Number of responses of the prior's mean duration that correspond to
// prior_tokens.
constexpr double prior_generations = prior_tokens *
                                     engine_estimate{}.generation_ms_per_token /
                                     engine_estimate{}.answer_ms;
// Noise is proportional to duration, so each observation is scaled until the
// larger of the expected and the observed time equals this value: an outlier
// then has little weight, whichever of the two times is wrong.
constexpr double typical_ms = 100;
constexpr double minimum_ms = 1;
// Lower bound of the read time per token. It keeps fits over inputs with little
// variation plausible: no engine reads faster.
constexpr double minimum_read_ms = 0.0005;

linear_fit<3> make_reading_fit()
{
    const engine_estimate prior;
    const auto read = prior.read_ms_per_token * token_unit;
    return {{prior.first_ms, read, read * prior.peers_part},
            {prior_weight, prior_weight, strong_prior_weight},
            decay,
            typical_ms};
}

linear_fit<2> make_gap_fit()
{
    const engine_estimate prior;
    return {{prior.gap_ms, prior.gap_ms_per_generation * generation_unit},
            {prior_weight, prior_weight},
            decay,
            typical_ms};
}

template <std::size_t Size>
void add_scaled(linear_fit<Size>& fit, std::array<double, Size> inputs,
                double ms)
{
    const auto scale =
        typical_ms / std::max({minimum_ms, fit.predict(inputs), ms});
    for (auto& value : inputs)
    {
        value *= scale;
    }
    fit.add(inputs, ms * scale);
}

// Mean of values that are weighted by their number of observations.
class weighted_mean
{
public:
    void add(double value, double weight)
    {
        m_sum += value * weight;
        m_weight += weight;
    }

    [[nodiscard]] double value_or(double fallback) const
    {
        return m_weight > 0 ? m_sum / m_weight : fallback;
    }

private:
    double m_sum = 0;
    double m_weight = 0;
};

} // namespace

engine_model::engine_model()
    : m_reading(make_reading_fit())
    , m_doubtful_tokens(prior_doubtful_tokens)
    , m_read_tokens(prior_doubtful_tokens * engine_estimate{}.doubtful_part)
    , m_gaps(make_gap_fit())
    , m_allowed_tokens(prior_tokens)
    , m_generating_ms(prior_tokens * engine_estimate{}.generation_ms_per_token)
{
}

void engine_model::observe_prompt(const prompt_observation& prompt,
                                  absl::Time now)
{
    const auto before =
        (prompt.certain_tokens + prompt.ahead_tokens) / token_unit;
    const auto doubtful = prompt.doubtful_tokens / token_unit;
    const auto peers = prompt.peers_ahead_tokens / token_unit;
    // 1. Estimate how many of the doubtful tokens were read: all, none or some.
    if (doubtful > 0)
    {
        const auto excess_ms =
            prompt.first_event_ms - m_reading.predict({1, before, peers});
        const auto read =
            std::clamp(excess_ms / read_ms_per_unit(), 0.0, doubtful);
        m_doubtful_tokens = m_doubtful_tokens * decay + doubtful;
        m_read_tokens = m_read_tokens * decay + read;
    }
    // 2. Fit the read time, with the mean fraction of the doubtful tokens.
    const auto expected = before + doubtful * m_read_tokens / m_doubtful_tokens;
    add_scaled<3>(m_reading, {1, expected, peers}, prompt.first_event_ms);
    m_observed_at = now;
}

void engine_model::observe_generation(const generation_observation& generation,
                                      absl::Time now)
{
    m_observed_at = now;
    m_generations = m_generations * decay + 1;
    m_allowed_tokens = m_allowed_tokens * decay + generation.allowed_tokens;
    m_generating_ms = m_generating_ms * decay + generation.first_to_last_ms;
    if (generation.events > 1)
    {
        add_scaled<2>(m_gaps, {1, (generation.running - 1) / generation_unit},
                      generation.first_to_last_ms / (generation.events - 1));
    }
}

double engine_model::read_ms_per_unit() const
{
    return std::max(m_reading.coefficients()[1], minimum_read_ms * token_unit);
}

void engine_model::set_peer_estimate(const host_id& peer,
                                     const engine_estimate& learned)
{
    m_peers[peer] = learned;
}

void engine_model::drop_peer(const host_id& peer)
{
    m_peers.erase(peer);
}

engine_estimate engine_model::local_estimate() const
{
    engine_estimate estimate;
    const auto& reading = m_reading.coefficients();
    const auto read = read_ms_per_unit();
    estimate.first_ms = std::max(0.0, reading[0]);
    estimate.read_ms_per_token = read / token_unit;
    estimate.doubtful_part = m_read_tokens / m_doubtful_tokens;
    estimate.peers_part = std::clamp(reading[2] / read, 0.0, 1.0);
    const auto& gaps = m_gaps.coefficients();
    estimate.gap_ms = std::max(0.0, gaps[0]);
    estimate.gap_ms_per_generation = std::max(0.0, gaps[1] / generation_unit);
    estimate.generation_ms_per_token = m_generating_ms / m_allowed_tokens;
    estimate.answer_ms = m_generating_ms / (prior_generations + m_generations);
    estimate.prompts = m_reading.observations();
    estimate.generations = m_generations;
    estimate.first_error = m_reading.mean_error() / typical_ms;
    estimate.observed_at = m_observed_at;
    return estimate;
}

void engine_model::refresh()
{
    const auto local = local_estimate();
    auto pooled = local;
    const auto pool =
        [&](double engine_estimate::*value, double engine_estimate::*weight)
    {
        weighted_mean mean;
        mean.add(local.*value, local.*weight);
        for (const auto& [peer, learned] : m_peers)
        {
            mean.add(learned.*value, learned.*weight);
        }
        pooled.*value = mean.value_or(local.*value);
    };
    using estimate = engine_estimate;
    pool(&estimate::first_ms, &estimate::prompts);
    pool(&estimate::read_ms_per_token, &estimate::prompts);
    pool(&estimate::doubtful_part, &estimate::prompts);
    pool(&estimate::peers_part, &estimate::prompts);
    pool(&estimate::first_error, &estimate::prompts);
    pool(&estimate::gap_ms, &estimate::generations);
    pool(&estimate::gap_ms_per_generation, &estimate::generations);
    pool(&estimate::generation_ms_per_token, &estimate::generations);
    pool(&estimate::answer_ms, &estimate::generations);
    for (const auto& [peer, learned] : m_peers)
    {
        pooled.prompts += learned.prompts;
        pooled.generations += learned.generations;
        pooled.observed_at = std::max(pooled.observed_at, learned.observed_at);
    }
    m_pooled_estimate = pooled;
}

} // namespace daleshelf
