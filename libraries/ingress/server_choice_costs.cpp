// Expected time of a request at an upstream, by which upstreams are compared.
#include "server_choice.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// A running generation costs as much as prefill of this many tokens: each step
// of the engine processes its token and its context besides the prefill.
constexpr double tokens_per_generation = 20;
// Plain calls of present users take 15 to 60 ms of work.
constexpr double ms_per_active_call = 15;

// Never taken by the requests of any engine.
constexpr int unlimited_slots = 1'000'000;

} // namespace

// @return whether the request would wait for a slot, or preempt another
bool server_choice::lacks_room(const priced_server& chosen,
                               const choice_request& request) const
{
    if (chosen.server == nullptr || !request.headroom)
    {
        return false;
    }
    const auto load = total_load(chosen.server->id);
    const auto& needs = *request.headroom;
    const bool lacks_slot =
        m_policy.weighs_slots && load.active >= chosen.server->slots;
    const bool lacks_memory =
        m_policy.weighs_memory && needs.memory_capacity > 0 &&
        load.memory_tokens + needs.memory_tokens > needs.memory_capacity;
    return lacks_slot || lacks_memory;
}

// The time until the request's prompt is prefilled, and the delay that this
// causes for running generations.
double server_choice::engine_cost(const server_entry& server,
                                  const choice_request& request,
                                  const upstream_id& preferred) const
{
    const auto work = estimate_work(server.id, request, preferred);
    if (request.headroom)
    {
        return wait_at(server, request, work).total_ms();
    }
    const auto tokens =
        work.ahead_tokens +
        work.peers_ahead_tokens * request.engine.peers_part +
        static_cast<double>(work.expected_tokens) +
        static_cast<double>(work.running) * tokens_per_generation;
    return tokens * request.engine.read_ms_per_token;
}

engine_wait server_choice::wait_at(const server_entry& server,
                                   const choice_request& request,
                                   const expected_work& work) const
{
    engine_backlog backlog;
    backlog.running = work.running;
    backlog.slots = m_policy.weighs_slots ? server.slots : unlimited_slots;
    backlog.slowdown =
        m_policy.weighs_speed
            ? m_speeds
                  .estimate(server.incarnation(), request.headroom->decided_at)
                  .current()
            : 1;
    backlog.ahead_tokens =
        work.ahead_tokens + work.peers_ahead_tokens * request.engine.peers_part;
    backlog.own_tokens = static_cast<double>(work.expected_tokens);
    if (m_policy.weighs_memory)
    {
        backlog.held_memory = total_load(server.id).memory_tokens;
        backlog.own_memory = request.headroom->memory_tokens;
        backlog.memory_capacity = request.headroom->memory_capacity;
    }
    return expected_wait(backlog, request.engine);
}

double server_choice::call_cost(const server_entry& server) const
{
    const auto slots = std::max(1, server.slots);
    const auto active = total_load(server.id).active;
    return static_cast<double>(active) / slots * ms_per_active_call;
}

} // namespace daleshelf
