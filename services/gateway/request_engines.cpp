// What a request's flow tells of engines, and expects of them.
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>

namespace daleshelf
{

// Whether the request cannot begin in time even at the best server: waiting
// would only cost its client the time.
// @return after how long places are expected to be free, in ms
std::optional<milliseconds>
request_flow::hopeless_for(const server_entry& server,
                           const choice_request& wanted) const
{
    if (!m_service->is_engine || m_may_have_run ||
        !m_state.settings.refuses_hopeless)
    {
        return std::nullopt;
    }
    const milliseconds expected(static_cast<std::int64_t>(
        m_state.choice.expected_first_ms(server, wanted)));
    if (expected <= time_left())
    {
        return std::nullopt;
    }
    return expected - m_route->latency_objective;
}

// What the head's time, which is that of the first event, shows of a version.
void request_flow::note_first(const response_head& head,
                              monotonic::duration time)
{
    constexpr double percent = 100;
    if (m_service->is_engine && head.status < http_status::bad_request)
    {
        m_seen.first_latency =
            to_ms(time) / std::max(1.0, m_expected_first_ms) * percent;
    }
}

// What an attempt that has reached a server shows of its version.
void request_flow::note_version(const server_entry& server, attempt_end end,
                                monotonic::duration time)
{
    const bool is_answer =
        end == attempt_end::answered || end == attempt_end::server_error ||
        end == attempt_end::broken || end == attempt_end::late;
    if (!is_answer)
    {
        return;
    }
    m_seen.is_failure = m_seen.is_failure || end != attempt_end::answered;
    if (!m_service->is_engine)
    {
        m_seen.first_latency = to_ms(time);
    }
    m_state.rollouts.record_response(server.service, server.version,
                                     m_route->name, m_seen);
}

// What the request asks of the service's engines, for whoever orders servers.
void request_flow::count_work()
{
    if (!m_service->is_engine)
    {
        return;
    }
    const auto tokens = static_cast<double>(m_work.expected_tokens);
    auto& load = m_state.loads[m_service->name];
    load.work += {1, tokens, tokens * tokens,
                  static_cast<double>(m_facts.max_output_tokens)};
    load.samples.add(
        {tokens, static_cast<double>(m_route->latency_objective.count())});
}

// One that had to wait for a place, or that goes on elsewhere, tells nothing
// of the time to read.
void request_flow::learn_reading(const server_entry& server,
                                 const response_head& head,
                                 monotonic::duration time)
{
    if (!m_service->is_engine || !m_state.settings.learns_engines ||
        head.status >= http_status::bad_request || m_answer.has_begun() ||
        m_work.running >= server.slots)
    {
        return;
    }
    prompt_observation seen;
    seen.certain_tokens = m_work.certain_tokens;
    seen.doubtful_tokens = m_work.doubtful_tokens;
    seen.ahead_tokens = m_work.ahead_tokens;
    seen.peers_ahead_tokens = m_work.peers_ahead_tokens;
    seen.first_event_ms = to_ms(time);
    m_state.engines.model_of(m_service->name)
        .observe_prompt(seen, gateway_state::now());
}

// A stream that came whole from one server tells how fast that generates.
void request_flow::learn_generating(std::int64_t events,
                                    monotonic::duration time)
{
    if (!m_service->is_engine || !m_state.settings.learns_engines ||
        m_attempts != 1)
    {
        return;
    }
    generation_observation seen;
    seen.allowed_tokens = static_cast<double>(m_facts.max_output_tokens);
    seen.events = static_cast<double>(events);
    seen.first_to_last_ms = to_ms(time);
    seen.running = static_cast<double>(m_work.running + 1);
    m_state.engines.model_of(m_service->name)
        .observe_generation(seen, gateway_state::now());
}

} // namespace daleshelf
