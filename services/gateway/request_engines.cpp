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
request_flow::retry_delay_if_too_late(const server_entry& server,
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
    return expected - m_route->objective;
}

// What the head's time, which is that of the first event, shows of a version.
void request_flow::record_first_event(const response_head& head,
                                      monotonic::duration time)
{
    constexpr double percent = 100;
    if (m_service->is_engine && head.status < http_status::bad_request)
    {
        m_seen.first =
            to_ms(time) / std::max(1.0, m_expected_first_ms) * percent;
    }
}

// What an attempt that has reached a server shows of its version.
void request_flow::record_version_result(const server_entry& server,
                                         attempt_result result,
                                         monotonic::duration time)
{
    const bool is_response = result == attempt_result::answered ||
                             result == attempt_result::server_error ||
                             result == attempt_result::broken ||
                             result == attempt_result::late;
    if (!is_response)
    {
        return;
    }
    m_seen.is_failure = m_seen.is_failure || result != attempt_result::answered;
    if (!m_service->is_engine)
    {
        m_seen.first = to_ms(time);
    }
    m_state.rollouts.note_answer(server.service, server.version, m_route->name,
                                 m_seen);
}

// What the request asks of the service's engines, for whoever orders servers.
void request_flow::record_demand()
{
    if (!m_service->is_engine)
    {
        return;
    }
    const auto tokens = static_cast<double>(m_work.tokens);
    auto& load = m_state.loads[m_service->name];
    load.work += {1, tokens, tokens * tokens,
                  static_cast<double>(m_facts.answer_tokens)};
    load.samples.add({tokens, static_cast<double>(m_route->objective.count())});
}

// One that had to wait for a place, or that goes on elsewhere, tells nothing
// of the time to read.
void request_flow::record_prefill_time(const server_entry& server,
                                       const response_head& head,
                                       monotonic::duration time)
{
    if (!m_service->is_engine || !m_state.settings.learns_engines ||
        head.status >= http_status::bad_request || m_response.has_begun() ||
        m_work.running >= server.slots)
    {
        return;
    }
    prompt_seen seen;
    seen.certain_tokens = m_work.certain_tokens;
    seen.doubtful_tokens = m_work.doubtful_tokens;
    seen.ahead_tokens = m_work.ahead_tokens;
    seen.peers_ahead_tokens = m_work.peers_ahead_tokens;
    seen.first_event_ms = to_ms(time);
    m_state.engines.of(m_service->name).note_prompt(seen, gateway_state::now());
}

// A stream that came whole from one server tells how fast that generates.
void request_flow::record_generation_time(std::int64_t events,
                                          monotonic::duration time)
{
    if (!m_service->is_engine || !m_state.settings.learns_engines ||
        m_attempts != 1)
    {
        return;
    }
    generation_seen seen;
    seen.allowed_tokens = static_cast<double>(m_facts.answer_tokens);
    seen.events = static_cast<double>(events);
    seen.first_to_last_ms = to_ms(time);
    seen.running = static_cast<double>(m_work.running + 1);
    m_state.engines.of(m_service->name)
        .note_generation(seen, gateway_state::now());
}

} // namespace daleshelf
