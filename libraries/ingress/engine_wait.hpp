/// @file
/// Expected delay of a request at an engine with limited slots and memory.
#pragma once

#include <cstdint>
#include <engines/engine_estimate.hpp>

namespace daleshelf
{

/// What an engine has in hand, and what one more request brings.
struct engine_backlog
{
    std::int64_t running = 0;     ///< requests in flight, waiting ones included
    int slots = 1;                ///< requests that run concurrently
    double slowdown = 1;          ///< duration relative to the service's mean
    double ahead_tokens = 0;      ///< prompt tokens expected to be queued
    double own_tokens = 0;        ///< prompt tokens of the request to prefill
    std::int64_t held_memory = 0; ///< tokens, at the end of those requests
    std::int64_t own_memory = 0;  ///< tokens, at the end of the request
    std::int64_t memory_capacity = 0; ///< tokens; 0: not known
};

/// Components of the delay, in ms.
struct engine_wait
{
    double slot_ms = 0;         ///< until a slot is free
    double queue_ms = 0;        ///< until the prompts ahead are prefilled
    double prefill_ms = 0;      ///< of the request, and its first step
    double interference_ms = 0; ///< caused to running generations
    double preemption_ms = 0; ///< pause and repeated prefill for lack of memory

    /// @return the time to the first event
    [[nodiscard]] double first_event_ms() const;

    /// @return the cost that a choice compares
    [[nodiscard]] double total_ms() const;
};

/// The load that this answers: engines whose slots are all taken at times, of
/// unequal speed, with short requests behind long ones. Without the wait for a
/// slot, requests queue at one engine while others have free slots.
/// @return the expected delay of the request
[[nodiscard]] engine_wait expected_wait(const engine_backlog& backlog,
                                        const engine_estimate& engine);

} // namespace daleshelf
