#include "rollout_participant.hpp"

#include <xxhash.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

// How long a directive is valid: four in a row, sent every quarter second, may
// be lost.
constexpr absl::Duration directive_time = absl::Milliseconds(1200);

// Hosts start with different fractions of a request as credit, derived from
// their names. Otherwise hosts with three requests a second would all wait
// until their twentieth request before they send one to the target. Together
// the hosts send the share on average.
double initial_credit(const host_id& host, log_offset order)
{
    const auto hash =
        XXH3_64bits_withSeed(host.value().data(), host.value().size(),
                             static_cast<std::uint64_t>(order.value()));
    constexpr double hash_range = 18446744073709551616.0;
    return static_cast<double>(hash) / hash_range;
}

} // namespace

rollout_participant::rollout_participant(host_id self, incarnation started,
                                         version_gate& gate)
    : m_self(std::move(self)), m_started(started), m_gate(gate)
{
}

bool rollout_participant::apply(const rollout_directive& directive,
                                absl::Time now)
{
    const auto* order = m_gate.order_of(directive.service);
    if (order == nullptr || order->offset != directive.order)
    {
        // Another order, or one that this host has not read yet.
        return false;
    }
    if (directive.phase != rollout_phase::running)
    {
        return m_gate.set_phase(directive.service, directive.order,
                                directive.phase, now);
    }
    auto* state = running_state(directive.service);
    if (state == nullptr || std::pair(directive.token, directive.sequence) <=
                                std::pair(state->token, state->sequence))
    {
        return false;
    }
    state->token = directive.token;
    state->sequence = directive.sequence;
    state->share = directive.share;
    state->last_directive_at = now;
    return true;
}

std::optional<canary_target>
rollout_participant::pick_target(const service_name& service, absl::Time now)
{
    auto* state = running_state(service);
    const auto share = target_share(service, now);
    if (state == nullptr || share <= 0)
    {
        return std::nullopt;
    }
    state->credit = std::min(state->credit + share, 1 + share);
    if (state->credit < 1)
    {
        return std::nullopt;
    }
    state->credit -= 1;
    return canary_target{m_gate.order_of(service)->target, share};
}

double rollout_participant::target_share(const service_name& service,
                                         absl::Time now) const
{
    const auto state = m_orders.find(service);
    const bool is_running =
        state != m_orders.end() && has_running_order(service);
    return is_running && now - state->second.last_directive_at <= directive_time
               ? state->second.share
               : 0;
}

void rollout_participant::record_sent(const service_name& service,
                                      const version_name& version)
{
    auto* state = running_state(service);
    if (state == nullptr)
    {
        return;
    }
    const bool is_target = m_gate.order_of(service)->target == version;
    ++(is_target ? state->statistics.sent_target : state->statistics.sent_old);
}

void rollout_participant::record_response(const service_name& service,
                                          const version_name& version,
                                          const std::string& route,
                                          const response_sample& sample)
{
    auto* state = running_state(service);
    if (state == nullptr)
    {
        return;
    }
    const bool is_target = m_gate.order_of(service)->target == version;
    auto& by_route =
        is_target ? state->statistics.target : state->statistics.old_version;
    by_route[route].add(sample);
    state->has_unreported_responses =
        state->has_unreported_responses || is_target;
}

std::optional<rollout_report>
rollout_participant::report(const service_name& service)
{
    auto* state = running_state(service);
    if (state == nullptr)
    {
        return std::nullopt;
    }
    state->has_unreported_responses = false;
    return rollout_report{m_self, m_started, service, state->order,
                          state->statistics};
}

bool rollout_participant::has_unreported_responses(
    const service_name& service) const
{
    const auto state = m_orders.find(service);
    return state != m_orders.end() && state->second.has_unreported_responses;
}

absl::Time
rollout_participant::last_directive_at(const service_name& service) const
{
    const auto state = m_orders.find(service);
    return state == m_orders.end() ? absl::InfinitePast()
                                   : state->second.last_directive_at;
}

// @return the state of the service's order, if one is running; a later order
// starts with an empty one
rollout_participant::order_state*
rollout_participant::running_state(const service_name& service)
{
    if (!has_running_order(service))
    {
        return nullptr;
    }
    const auto* order = m_gate.order_of(service);
    const auto [at, is_new] = m_orders.try_emplace(service);
    auto& state = at->second;
    if (is_new || state.order != order->offset)
    {
        state = {};
        state.order = order->offset;
        state.credit = initial_credit(m_self, order->offset);
    }
    return &state;
}

} // namespace daleshelf
