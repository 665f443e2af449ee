// Slots, memory and shares of a request at engines whose headroom is modelled,
// and what its response shows of them.
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr int priorities_per_tenant = 3;
constexpr int lowest_priority = 9;
// Shorter stretches of a stream say more of single steps than of the engine.
constexpr milliseconds pace_interval{250};
// Longer writes wait for the client.
constexpr milliseconds max_forwarding_time{20};
// Most of the capacity goes to requests that arrive for the first time.
constexpr double returning_fraction = 0.2;
constexpr double min_slot_seconds = 0.001;
// At most five lines a second.
constexpr absl::Duration share_log_interval = absl::Milliseconds(200);
// Clients wait for up to a third of the time that they have left.
constexpr int parts_of_time_left = 3;

} // namespace

// Urgency among all requests to engines; 0 is the most urgent.
int request_flow::rank() const
{
    const auto tenant_priority = m_tenant == nullptr ? 0 : m_tenant->priority;
    return std::min(lowest_priority, tenant_priority * priorities_per_tenant +
                                         m_route->priority);
}

output_length_model::request_length request_flow::request_length() const
{
    return {m_route->name, m_facts.output_hint, m_facts.max_output_tokens};
}

// Tokens of the prompt's last part. The parts before it are shared with other
// requests, and occupy memory once.
std::int64_t request_flow::own_prompt_tokens() const
{
    return m_facts.prompt.empty() ? m_facts.prompt_tokens
                                  : m_facts.prompt.back().tokens;
}

std::optional<headroom_needs> request_flow::headroom_needs_now() const
{
    if (!m_state.models_headroom(*m_service))
    {
        return std::nullopt;
    }
    const auto output = m_state.output_lengths.estimate(request_length());
    headroom_needs needs;
    needs.memory_tokens =
        own_prompt_tokens() + static_cast<std::int64_t>(output.expected);
    needs.memory_capacity = m_service->cache_tokens;
    needs.decided_at = gateway_state::now();
    return needs;
}

// Time of a slot that the request needs. Prefill keeps the whole engine busy,
// so it counts for all of its slots.
absl::Duration request_flow::slot_time() const
{
    const auto& engine =
        m_state.engines.model_of(m_service->name).pooled_estimate();
    const double slots = std::max(1, m_service->engine_slots);
    const auto output = m_state.output_lengths.estimate(request_length());
    const auto gap_ms =
        engine.gap_ms + engine.gap_ms_per_generation * (slots - 1) / 2;
    const auto generation_ms =
        output.expected / m_service->event_tokens * gap_ms;
    const auto prefill_ms =
        static_cast<double>(own_prompt_tokens()) * engine.read_ms_per_token;
    return absl::Milliseconds(prefill_ms * slots + generation_ms);
}

// Rejects the request if slots are short and its workspace exceeds its share.
// @return whether the request is admitted
awaitable<bool> request_flow::check_share()
{
    // A stream that has begun is never rejected for the share of its workspace.
    if (!m_state.settings.shares_fairly ||
        !m_state.models_headroom(*m_service) || is_resumption())
    {
        co_return true;
    }
    const workspace_demand request{
        m_service->name, m_tenant == nullptr ? workspace_id() : m_tenant->name,
        rank(), 0};
    const auto now = gateway_state::now();
    m_state.demand.add(request, slot_time(), now);
    const auto verdict = m_state.shares.admit(
        request, absl::Uniform(m_state.random, 0.0, 1.0), now);
    if (verdict.is_admitted)
    {
        co_return true;
    }
    refund_quota();
    log_share_exceeded(request, verdict);
    co_await reject(http_status::unavailable, "over_share",
                    return_delay(retry_when_full));
    co_return false;
}

// Logs the first rejection of each interval; the others are counted.
void request_flow::log_share_exceeded(const workspace_demand& request,
                                      const share_verdict& verdict)
{
    auto& unlogged = m_state.unlogged_share_rejections;
    const auto now = gateway_state::now();
    if (now - m_state.share_logged_at < share_log_interval)
    {
        ++unlogged;
        return;
    }
    m_state.share_logged_at = now;
    log(events::share_exceeded,
        {{"id", m_facts.id.value()},
         {"tenant", request.workspace.value()},
         {"rank", std::to_string(request.rank)},
         {"admitted_fraction", std::to_string(verdict.admitted_fraction)},
         {"demand", std::to_string(verdict.demand)},
         {"share", std::to_string(verdict.share)},
         {"capacity", std::to_string(verdict.capacity)},
         {"age_ms", std::to_string(absl::ToInt64Milliseconds(verdict.age))},
         {"not_logged", std::to_string(std::exchange(unlogged, 0))}});
}

// @param earliest time after which capacity is expected
// @return the Retry-After of a request that is rejected for lack of capacity
milliseconds request_flow::return_delay(milliseconds earliest)
{
    const auto limited = std::clamp(earliest, retry_when_full, max_retry_after);
    if (!m_state.settings.spreads_returns ||
        !m_state.models_headroom(*m_service))
    {
        return limited;
    }
    const auto now = gateway_state::now();
    double slots = 0;
    for (const auto& server : m_state.servers.usable(m_service->name))
    {
        slots += server.entry->slots /
                 m_state.choice.speeds()
                     .estimate(server.entry->incarnation(), now)
                     .current();
    }
    const auto hosts = static_cast<double>(
        std::max<std::size_t>(1, m_state.quota.shared().fleet_size()));
    const auto seconds =
        std::max(min_slot_seconds, absl::ToDoubleSeconds(slot_time()));
    return_schedule::rejected_request rejected;
    rejected.earliest = absl::FromChrono(limited);
    rejected.latest = absl::FromChrono(time_left() / parts_of_time_left);
    rejected.per_second = slots / seconds / hosts * returning_fraction;
    rejected.random = absl::Uniform(m_state.random, 0.0, 1.0);
    return absl::ToChronoMilliseconds(
        m_state.returns[m_service->name].reserve(rejected, now));
}

// Feeds the intervals between events of a running stream to the estimate of the
// engine's speed.
// @param events those forwarded since the last call
// @param forwarding_time for which the client held up these events
void request_flow::record_pace(const server_entry& server, std::int64_t events,
                               monotonic::duration forwarding_time)
{
    const auto now = monotonic::now();
    // A client that reads slowly says nothing of the engine.
    if (!m_pace_since || forwarding_time > max_forwarding_time)
    {
        m_pace_since = now;
        m_pace_events = 0;
        return;
    }
    m_pace_events += events;
    const auto time = now - *m_pace_since;
    if (time < pace_interval || m_pace_events == 0 ||
        !m_state.models_headroom(*m_service))
    {
        return;
    }
    const auto& engine =
        m_state.engines.model_of(m_service->name).pooled_estimate();
    const auto others =
        static_cast<double>(m_state.choice.total_load(server.id).active - 1);
    const auto gap_ms =
        engine.gap_ms + engine.gap_ms_per_generation * std::max(0.0, others);
    const auto expected_ms = static_cast<double>(m_pace_events) * gap_ms;
    if (expected_ms > 0)
    {
        m_state.choice.speeds().record({server.incarnation(),
                                        to_ms(time) / expected_ms,
                                        gateway_state::now()});
    }
    m_pace_since = now;
    m_pace_events = 0;
}

// Records the length of a completed response.
void request_flow::record_output_length(std::int64_t events)
{
    if (m_state.models_headroom(*m_service) && m_attempts == 1 &&
        !m_facts.last_event)
    {
        m_state.output_lengths.observe(request_length(),
                                       events * m_service->event_tokens);
    }
}

} // namespace daleshelf
