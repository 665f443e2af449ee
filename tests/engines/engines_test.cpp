#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <engines/engine_table.hpp>
#include <random>

namespace daleshelf
{
namespace
{

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

/// True parameters of a simulated engine; observations of it have noise.
struct true_engine
{
    double first_ms = 30;
    double read_ms_per_token = 0.01;
    double doubtful_part = 0.4;
    double step_ms = 5;
    double step_ms_per_generation = 0.05;
    double tokens_per_event = 4;
};

/// Simulates prompts on one engine and feeds a model with the observations of
/// one host.
class engine_simulation
{
public:
    engine_simulation(const true_engine& engine, std::uint32_t seed)
        : m_engine(engine), m_random(seed)
    {
    }

    /// @param stalled_fraction fraction of the prompts that reach a stalled
    /// upstream
    void run(engine_model& model, int prompts, double stalled_fraction = 0)
    {
        for (int index = 0; index < prompts; ++index)
        {
            run_prompt(model, uniform(0, 1) < stalled_fraction);
        }
        model.refresh();
    }

private:
    double uniform(double lower, double upper)
    {
        return std::uniform_real_distribution<double>(lower, upper)(m_random);
    }

    void run_prompt(engine_model& model, bool is_stalled)
    {
        prompt_observation prompt;
        prompt.certain_tokens = std::exp(uniform(5, 10));
        prompt.doubtful_tokens = uniform(0, 1) < 0.5 ? uniform(100, 5000) : 0;
        prompt.ahead_tokens = uniform(0, 1) < 0.2 ? uniform(100, 3000) : 0;
        const bool is_read = uniform(0, 1) < m_engine.doubtful_part;
        const auto tokens = prompt.certain_tokens + prompt.ahead_tokens +
                            (is_read ? prompt.doubtful_tokens : 0);
        prompt.first_event_ms =
            (m_engine.first_ms + tokens * m_engine.read_ms_per_token) *
            uniform(0.9, 1.1);
        prompt.first_event_ms += is_stalled ? 2000 : 0;
        model.observe_prompt(prompt, at(m_second));
        generation_observation generation;
        generation.events = std::ceil(uniform(2, 80));
        generation.allowed_tokens =
            generation.events * m_engine.tokens_per_event;
        generation.running = std::ceil(uniform(0, 60));
        const auto step = m_engine.step_ms + m_engine.step_ms_per_generation *
                                                 (generation.running - 1);
        generation.first_to_last_ms = (generation.events - 1) * step *
                                      m_engine.tokens_per_event *
                                      uniform(0.9, 1.1);
        model.observe_generation(generation, at(m_second));
        m_second += 0.05;
    }

    true_engine m_engine;
    std::mt19937 m_random;
    double m_second = 0;
};

// Number of prompts after which the relative error of an estimate must not
// exceed tolerance.
constexpr int prompt_count = 300;
constexpr double tolerance = 0.15;

bool is_close(double estimate, double truth)
{
    return std::abs(estimate - truth) <= tolerance * truth;
}

TEST(engine_model, starts_with_a_slow_prior_without_observations)
{
    engine_model model;
    model.refresh();
    EXPECT_EQ(model.pooled_estimate().prompts, 0);
    EXPECT_NEAR(model.pooled_estimate().read_ms_per_token, 1.0 / 32, 1e-9);
}

// Engines read 10 to 500 tokens per ms and take 1 to 40 ms per step.
RC_GTEST_PROP(engine_model, converges_on_any_engine, ())
{
    true_engine engine;
    engine.read_ms_per_token = 1.0 / *rc::gen::inRange(10, 500);
    engine.first_ms = *rc::gen::inRange(5, 100);
    engine.step_ms = *rc::gen::inRange(1, 40);
    engine.step_ms_per_generation = engine.step_ms / 100;
    engine.tokens_per_event = *rc::gen::inRange(1, 9);
    engine_model model;
    engine_simulation(engine, *rc::gen::arbitrary<std::uint32_t>())
        .run(model, prompt_count);
    const auto& pooled = model.pooled_estimate();
    RC_ASSERT(is_close(pooled.read_ms_per_token, engine.read_ms_per_token));
    RC_ASSERT(
        is_close(pooled.gap_ms, engine.step_ms * engine.tokens_per_event));
    RC_ASSERT(std::abs(pooled.doubtful_part - engine.doubtful_part) < 0.3);
}

RC_GTEST_PROP(engine_model, few_stalled_servers_change_the_estimate_little, ())
{
    const true_engine engine;
    engine_model model;
    engine_simulation(engine, *rc::gen::arbitrary<std::uint32_t>())
        .run(model, prompt_count, 0.05);
    RC_ASSERT(std::abs(model.pooled_estimate().read_ms_per_token -
                       engine.read_ms_per_token) <=
              0.3 * engine.read_ms_per_token);
}

TEST(engine_model, follows_engines_that_are_replaced_by_faster_ones)
{
    true_engine engine;
    engine.read_ms_per_token = 0.03;
    engine_model model;
    engine_simulation(engine, 1).run(model, prompt_count);
    engine.read_ms_per_token = 0.006;
    engine_simulation(engine, 2).run(model, 4 * prompt_count);
    EXPECT_TRUE(is_close(model.pooled_estimate().read_ms_per_token, 0.006))
        << model.pooled_estimate().read_ms_per_token;
}

TEST(engine_model, a_restarted_host_takes_the_estimates_of_its_peers)
{
    const true_engine engine;
    engine_model old;
    engine_simulation(engine, 3).run(old, prompt_count);
    engine_model fresh;
    fresh.set_peer_estimate(host_id("old"), old.local_estimate());
    fresh.refresh();
    EXPECT_TRUE(is_close(fresh.pooled_estimate().read_ms_per_token,
                         engine.read_ms_per_token));
    EXPECT_EQ(fresh.pooled_estimate().prompts, old.local_estimate().prompts);
    fresh.drop_peer(host_id("old"));
    fresh.refresh();
    EXPECT_EQ(fresh.pooled_estimate().prompts, 0);
}

TEST(engine_model, few_observations_move_the_pooled_estimate_little)
{
    true_engine engine;
    engine_model sure;
    engine_simulation(engine, 4).run(sure, prompt_count);
    engine.read_ms_per_token = 0.03;
    engine_model unsure;
    engine_simulation(engine, 5).run(unsure, 5);
    sure.set_peer_estimate(host_id("unsure"), unsure.local_estimate());
    sure.refresh();
    EXPECT_TRUE(is_close(sure.pooled_estimate().read_ms_per_token, 0.01));
}

TEST(engine_model, reports_the_time_of_its_newest_observation)
{
    engine_model model;
    model.observe_prompt({1000, 0, 0, 0, 40}, at(7));
    EXPECT_EQ(model.local_estimate().observed_at, at(7));
}

TEST(engine_table, keeps_services_apart)
{
    engine_table table;
    table.model_of(service_name("a"))
        .observe_prompt({1000, 0, 0, 0, 40}, at(1));
    table.refresh();
    EXPECT_EQ(table.model_of(service_name("a")).pooled_estimate().prompts, 1);
    EXPECT_EQ(table.model_of(service_name("b")).pooled_estimate().prompts, 0);
}

} // namespace
} // namespace daleshelf
