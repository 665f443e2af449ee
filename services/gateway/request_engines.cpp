// Statistics of engines from requests, and the expected time to first event.
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

// Records a failed attempt for a rollout, unless the links of this host are
// cut.
awaitable<void> record_verified_failure(gateway_state& state,
                                        server_entry server, std::string route,
                                        response_sample sample)
{
    const bool is_credible = co_await state.upstreams.are_links_usable(server);
    if (is_credible)
    {
        state.rollouts.record_response(server.service, server.version, route,
                                       sample);
    }
}

} // namespace

// Predicts whether the first event would miss the deadline even at the best
// upstream. Rejecting at once then saves the client the wait.
// @return the time in ms after which slots are expected to be free, or nothing
// if the deadline can be met
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
    return expected - m_route->latency_objective;
}

// Records the time to first event, which is that of the head, for the rollout's
// comparison of versions: for engines in percent of the expected time.
void request_flow::record_first_event(const response_head& head,
                                      monotonic::duration time)
{
    constexpr double percent = 100;
    if (m_service->is_engine && head.status < http_status::bad_request)
    {
        m_seen.first_latency =
            to_ms(time) / std::max(1.0, m_expected_first_ms) * percent;
    }
}

// Records the result of an attempt for the rollout's comparison of versions.
// Attempts that did not run, or whose client left, do not count.
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
        m_seen.first_latency = to_ms(time);
    }
    // A connection that broke, or stayed silent, may be due to a cut link of
    // this host.
    const bool needs_verification =
        (result == attempt_result::broken || result == attempt_result::late) &&
        m_state.rollouts.has_running_order(m_service->name);
    if (!needs_verification)
    {
        m_state.rollouts.record_response(server.service, server.version,
                                         m_route->name, m_seen);
        return;
    }
    asio::co_spawn(
        m_state.context,
        [&state = m_state, server, route = m_route->name, sample = m_seen]
        { return record_verified_failure(state, server, route, sample); },
        asio::detached);
}

// Records the work that the request brings, as input for autoscaling. It is the
// same work until an upstream has received it.
void request_flow::record_demand()
{
    const bool is_recorded = m_is_demand_recorded && m_attempts == 0;
    if (!m_service->is_engine || is_recorded)
    {
        return;
    }
    m_is_demand_recorded = true;
    const auto tokens = static_cast<double>(m_work.expected_tokens);
    auto& load = m_state.loads[m_service->name];
    load.work += {1, tokens, tokens * tokens,
                  static_cast<double>(m_facts.max_output_tokens)};
    load.samples.add(
        {tokens, static_cast<double>(m_route->latency_objective.count())});
}

// Feeds the time to first event to the estimate of the prefill time. Requests
// that waited for a slot, and resumed streams, would distort it.
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
    prompt_observation seen;
    seen.certain_tokens = m_work.certain_tokens;
    seen.doubtful_tokens = m_work.doubtful_tokens;
    seen.ahead_tokens = m_work.ahead_tokens;
    seen.peers_ahead_tokens = m_work.peers_ahead_tokens;
    seen.first_event_ms = to_ms(time);
    m_state.engines.model_of(m_service->name)
        .observe_prompt(seen, gateway_state::now());
}

// Feeds the duration of a stream to the estimate of the generation speed. Only
// streams that came completely from one upstream count.
void request_flow::record_generation_time(std::int64_t events,
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
