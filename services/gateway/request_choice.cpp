// Choice of an upstream for a request, within the upstream's rate limit.
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>

namespace daleshelf
{

choice_request request_flow::make_choice_request()
{
    choice_request wanted;
    wanted.service = m_service->name;
    wanted.is_engine = m_service->is_engine;
    wanted.facts = &m_facts;
    wanted.engine = m_state.engines.model_of(m_service->name).pooled_estimate();
    wanted.stream_version = m_stream_version;
    wanted.excluded = m_tried;
    wanted.avoided_halls = m_broken_halls;
    wanted.headroom = headroom_needs_now();
    mark_suspect(wanted);
    return wanted;
}

// Sends a share of the first attempts to the target version of a rollout. If no
// upstream of that version can respond in time, the usual choice applies.
// @param wanted its version is set if the attempt goes to the target version
const server_entry* request_flow::choose_server(choice_request& wanted)
{
    const auto now = gateway_state::now();
    if (m_tried.empty() && !m_stream_version)
    {
        wanted.canary = m_state.rollouts.pick_target(m_service->name, now);
    }
    const auto* server = m_state.choice.choose(wanted, now);
    const bool is_target_unusable =
        wanted.canary &&
        (server == nullptr || retry_delay_if_too_late(*server, wanted));
    if (!is_target_unusable)
    {
        return server;
    }
    wanted.canary.reset();
    return m_state.choice.choose(wanted, now);
}

// Chooses the best upstream whose rate limit admits the request.
// @param wanted its excluded set receives the upstreams without room
awaitable<std::optional<request_flow::permitted_server>>
request_flow::choose_permitted_server(choice_request& wanted)
{
    while (true)
    {
        const auto* server = choose_server(wanted);
        if (server == nullptr)
        {
            co_return std::nullopt;
        }
        const auto chosen = *server;
        auto permit = co_await m_state.limits.acquire(chosen);
        if (!permit)
        {
            wanted.excluded.insert(chosen.id);
            continue;
        }
        // It may have started to drain, or restarted, while the permit was
        // acquired.
        if (m_state.servers.is_usable(chosen.id) &&
            !m_state.servers.has_restarted(chosen))
        {
            co_return permitted_server{chosen, std::move(*permit)};
        }
        m_state.limits.refund(std::move(*permit));
    }
}

// @return the upstream of the next attempt: the reserved one, or the best one
awaitable<std::optional<request_flow::permitted_server>>
request_flow::take_target(choice_request& wanted)
{
    if (m_reserved)
    {
        co_return std::exchange(m_reserved, std::nullopt);
    }
    co_return co_await choose_permitted_server(wanted);
}

// Reserves a retry and an upstream that can resume the stream, while an attempt
// is in flight.
// @return whether both were available
awaitable<bool> request_flow::reserve_resumption()
{
    if (!m_route->is_resumable || !can_run_again() ||
        !m_state.retries.try_take(m_service->name))
    {
        co_return false;
    }
    auto wanted = make_choice_request();
    m_reserved = co_await choose_permitted_server(wanted);
    if (!m_reserved)
    {
        m_state.retries.refund(m_service->name);
    }
    co_return m_reserved.has_value();
}

// Rejects a request that no upstream has accepted. Retry-After names the time
// at which the first of them accepts requests again.
awaitable<void> request_flow::reject_unserved(attempt_result result)
{
    refund_quota();
    const auto now = gateway_state::now();
    if (const auto rest =
            m_state.choice.earliest_back_off_end(m_service->name, now))
    {
        co_await reject(http_status::unavailable, "servers_rest",
                        std::clamp(absl::ToChronoMilliseconds(*rest - now),
                                   retry_when_full, max_retry_after));
        co_return;
    }
    const auto passed_over = m_state.choice.passed_over(m_service->name, now);
    for (const auto& server : passed_over)
    {
        m_passed_over.add(server.value());
    }
    const auto retry = passed_over.empty()
                           ? std::nullopt
                           : m_state.limits.reserve_retry(m_service->name);
    if (retry)
    {
        co_await reject(http_status::unavailable, "servers_limited",
                        std::clamp(absl::ToChronoMilliseconds(*retry),
                                   retry_when_full, max_retry_after));
        co_return;
    }
    if (result == attempt_result::no_path)
    {
        co_await reject(http_status::unavailable, "no_upstream_path",
                        retry_when_full);
        co_return;
    }
    co_await reject(http_status::unavailable,
                    result == attempt_result::not_reached ? "no_server_reached"
                                                          : "servers_full",
                    return_delay(retry_when_full));
}

} // namespace daleshelf
