#include "engine_wait.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// A running generation costs as much as prefill of this many tokens: each step
// of the engine processes its token and its context besides the prefill.
constexpr double tokens_per_generation = 20;

// Error of the number of requests in flight, relative to its square root, as
// the scale of a logistic distribution (a standard error of 0.9): requests
// start and end between two reports.
constexpr double count_error = 0.5;
// Beyond this excess, relative to the error, the logistic approximation equals
// the excess.
constexpr double certain_excess = 30;

// @return expected number of requests that have to end before one more runs,
// given that the count is uncertain
double expected_queue_length(double running, double slots)
{
    const auto error = count_error * std::sqrt(running + 1);
    const auto excess = (running + 1 - slots) / error;
    // The logistic approximation of a normal distribution's expected excess.
    return error *
           (excess > certain_excess ? excess : std::log1p(std::exp(excess)));
}

// @return the cost of memory that runs out with the request
double preemption_ms(const engine_backlog& backlog,
                     const engine_estimate& engine)
{
    const auto held = static_cast<double>(backlog.held_memory);
    const auto own = static_cast<double>(backlog.own_memory);
    const auto excess =
        held + own - static_cast<double>(backlog.memory_capacity);
    if (backlog.memory_capacity <= 0 || excess <= 0)
    {
        return 0;
    }
    // 1. A preempted request waits until others end and release the memory that
    // it lacks: at least one of them.
    const auto running =
        static_cast<double>(std::max<std::int64_t>(1, backlog.running));
    const auto released_part =
        std::max(excess / std::max(held, own), 1 / running);
    const auto wait_ms = released_part * (engine.first_ms + engine.answer_ms);
    // 2. All of its tokens are prefilled again. The newest request is preempted
    // first.
    const auto prefill_ms = std::max(excess, own) * engine.read_ms_per_token;
    return (wait_ms + prefill_ms) * backlog.slowdown;
}

} // namespace

double engine_wait::first_event_ms() const
{
    return std::max(slot_ms, queue_ms) + prefill_ms;
}

double engine_wait::total_ms() const
{
    return first_event_ms() + interference_ms + preemption_ms;
}

engine_wait expected_wait(const engine_backlog& backlog,
                          const engine_estimate& engine)
{
    engine_wait wait;
    const double slots = std::max(1, backlog.slots);
    // Sums of reports that were made at different times may be negative.
    const auto running =
        static_cast<double>(std::max<std::int64_t>(0, backlog.running));
    const auto read_ms = engine.read_ms_per_token * backlog.slowdown;
    // 1. While all slots are busy, one becomes free whenever a request ends.
    // Prompts ahead are prefilled during that wait.
    const auto slot_time = (engine.first_ms + engine.answer_ms) / slots;
    wait.slot_ms =
        expected_queue_length(running, slots) * slot_time * backlog.slowdown;
    wait.queue_ms = backlog.ahead_tokens * read_ms;
    // 2. The request's own prompt.
    wait.prefill_ms =
        engine.first_event_ms(backlog.own_tokens) * backlog.slowdown;
    // 3. Each running generation makes steps longer, and is delayed by the
    // prompt.
    wait.interference_ms = running * tokens_per_generation * read_ms;
    // 4. Requests that exceed the memory at their end are preempted.
    wait.preemption_ms = preemption_ms(backlog, engine);
    return wait;
}

} // namespace daleshelf
