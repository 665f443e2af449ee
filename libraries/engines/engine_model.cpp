#include "engine_model.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Two hundred observations count: ten seconds of one of seven hosts at the
// load of 160 prompts a second, and few enough to follow a change of engines.
constexpr double fading = 0.995;
// Tokens are counted in thousands and generations in tens, so that all numbers
// of a fit are of one size.
constexpr double thousand = 1000;
constexpr double ten = 10;
// The prior weighs as much as so many observations at one unit: a few prompts
// outweigh it, one alone does not.
constexpr double trust = 0.5;
// How much of the tokens that peers tell still lies ahead is held more firmly:
// most requests find none ahead.
constexpr double firm_trust = 10;
// Prior of generations in tokens, and of what is in doubt in thousands.
constexpr double trusted_tokens = 500;
constexpr double trusted_doubtful = 5;
// As many answers of the prior's length as its tokens come to.
constexpr double trusted_answers = trusted_tokens *
                                   engine_estimate{}.generation_ms_per_token /
                                   engine_estimate{}.answer_ms;
// Times vary in proportion to their length, so errors are taken against the
// longer of the expected and the seen time, which is brought to this size: one
// that is far off weighs little, whichever of the two is wrong.
constexpr double typical_ms = 100;
constexpr double shortest_ms = 1;
// No engine reads a token faster: a bound for fits with little variation.
constexpr double least_read_ms = 0.0005;

linear_fit<3> make_reading_fit()
{
    const engine_estimate prior;
    const auto read = prior.read_ms_per_token * thousand;
    return {{prior.first_ms, read, read * prior.peers_part},
            {trust, trust, firm_trust},
            fading,
            typical_ms};
}

linear_fit<2> make_gap_fit()
{
    const engine_estimate prior;
    return {{prior.gap_ms, prior.gap_ms_per_generation * ten},
            {trust, trust},
            fading,
            typical_ms};
}

template <std::size_t Size>
void add_scaled(linear_fit<Size>& fit, std::array<double, Size> seen, double ms)
{
    const auto scale = typical_ms / std::max({shortest_ms, fit.at(seen), ms});
    for (auto& value : seen)
    {
        value *= scale;
    }
    fit.add(seen, ms * scale);
}

// A mean that weighs each value by what it rests on.
class weighted_mean
{
public:
    void add(double value, double weight)
    {
        m_sum += value * weight;
        m_weight += weight;
    }

    [[nodiscard]] double value_or(double otherwise) const
    {
        return m_weight > 0 ? m_sum / m_weight : otherwise;
    }

private:
    double m_sum = 0;
    double m_weight = 0;
};

} // namespace

engine_model::engine_model()
    : m_reading(make_reading_fit())
    , m_doubtful_tokens(trusted_doubtful)
    , m_read_tokens(trusted_doubtful * engine_estimate{}.doubtful_part)
    , m_gaps(make_gap_fit())
    , m_allowed_tokens(trusted_tokens)
    , m_generating_ms(trusted_tokens *
                      engine_estimate{}.generation_ms_per_token)
{
}

void engine_model::note_prompt(const prompt_seen& prompt, absl::Time now)
{
    const auto before =
        (prompt.certain_tokens + prompt.ahead_tokens) / thousand;
    const auto doubtful = prompt.doubtful_tokens / thousand;
    const auto peers = prompt.peers_ahead_tokens / thousand;
    // 1. How much of what is in doubt was read: all of it, none, or a part.
    if (doubtful > 0)
    {
        const auto excess_ms =
            prompt.first_event_ms - m_reading.at({1, before, peers});
        const auto read =
            std::clamp(excess_ms / read_ms_per_thousand(), 0.0, doubtful);
        m_doubtful_tokens = m_doubtful_tokens * fading + doubtful;
        m_read_tokens = m_read_tokens * fading + read;
    }
    // 2. How long reading takes, with that part as it mostly is.
    const auto expected = before + doubtful * m_read_tokens / m_doubtful_tokens;
    add_scaled<3>(m_reading, {1, expected, peers}, prompt.first_event_ms);
    m_seen_at = now;
}

void engine_model::note_generation(const generation_seen& generation,
                                   absl::Time now)
{
    m_seen_at = now;
    m_generations = m_generations * fading + 1;
    m_allowed_tokens = m_allowed_tokens * fading + generation.allowed_tokens;
    m_generating_ms = m_generating_ms * fading + generation.first_to_last_ms;
    if (generation.events > 1)
    {
        add_scaled<2>(m_gaps, {1, (generation.running - 1) / ten},
                      generation.first_to_last_ms / (generation.events - 1));
    }
}

double engine_model::read_ms_per_thousand() const
{
    return std::max(m_reading.coefficients()[1], least_read_ms * thousand);
}

void engine_model::set_peer(const host_id& peer, const engine_estimate& learned)
{
    m_peers[peer] = learned;
}

void engine_model::drop_peer(const host_id& peer)
{
    m_peers.erase(peer);
}

engine_estimate engine_model::own() const
{
    engine_estimate estimate;
    const auto& reading = m_reading.coefficients();
    const auto read = read_ms_per_thousand();
    estimate.first_ms = std::max(0.0, reading[0]);
    estimate.read_ms_per_token = read / thousand;
    estimate.doubtful_part = m_read_tokens / m_doubtful_tokens;
    estimate.peers_part = std::clamp(reading[2] / read, 0.0, 1.0);
    const auto& gaps = m_gaps.coefficients();
    estimate.gap_ms = std::max(0.0, gaps[0]);
    estimate.gap_ms_per_generation = std::max(0.0, gaps[1] / ten);
    estimate.generation_ms_per_token = m_generating_ms / m_allowed_tokens;
    estimate.answer_ms = m_generating_ms / (trusted_answers + m_generations);
    estimate.prompts = m_reading.observations();
    estimate.generations = m_generations;
    estimate.first_error = m_reading.mean_error() / typical_ms;
    estimate.seen_at = m_seen_at;
    return estimate;
}

void engine_model::refresh()
{
    const auto mine = own();
    auto joint = mine;
    const auto join =
        [&](double engine_estimate::*value, double engine_estimate::*weight)
    {
        weighted_mean mean;
        mean.add(mine.*value, mine.*weight);
        for (const auto& [peer, learned] : m_peers)
        {
            mean.add(learned.*value, learned.*weight);
        }
        joint.*value = mean.value_or(mine.*value);
    };
    using estimate = engine_estimate;
    join(&estimate::first_ms, &estimate::prompts);
    join(&estimate::read_ms_per_token, &estimate::prompts);
    join(&estimate::doubtful_part, &estimate::prompts);
    join(&estimate::peers_part, &estimate::prompts);
    join(&estimate::first_error, &estimate::prompts);
    join(&estimate::gap_ms, &estimate::generations);
    join(&estimate::gap_ms_per_generation, &estimate::generations);
    join(&estimate::generation_ms_per_token, &estimate::generations);
    join(&estimate::answer_ms, &estimate::generations);
    for (const auto& [peer, learned] : m_peers)
    {
        joint.prompts += learned.prompts;
        joint.generations += learned.generations;
        joint.seen_at = std::max(joint.seen_at, learned.seen_at);
    }
    m_joint = joint;
}

} // namespace daleshelf
