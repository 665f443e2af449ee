#include "upstream_limiter.hpp"

#include "gateway_state.hpp"

#include <platform/request_format.hpp>
#include <telemetry/log.hpp>
#include <upstream_limits/limit_pacing.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t max_unreadable = 1024;
// Bounds the requests for slots of an upstream without a free one.
constexpr absl::Duration slot_back_off = absl::Milliseconds(4);

std::string format_limit(const std::optional<double>& limit)
{
    return limit ? std::to_string(*limit) : "none";
}

} // namespace

void upstream_limiter::record_response(const server_entry& server,
                                       const platform::server_notice& notice,
                                       absl::Time sent_at)
{
    if (notice.has_malformed_limit)
    {
        log_unreadable(server);
    }
    record_rejection_limit(server, notice, sent_at);
    if (!notice.limit && !notice.withdraws_limit)
    {
        return;
    }
    auto& quota = m_state.quota.shared();
    quota.record_response({server.incarnation(), notice.limit, sent_at},
                          gateway_state::now(), m_state.time_of_day());
    if (quota.limits().has_updates())
    {
        m_state.limit_updates.notify();
    }
}

void upstream_limiter::record_rejection_limit(
    const server_entry& server, const platform::server_notice& notice,
    absl::Time sent_at)
{
    if (!notice.rejection_limit && !notice.withdraws_rejection_limit)
    {
        return;
    }
    auto& limits = m_state.slots.limits();
    const bool has_changed = limits.record_response(
        {server.incarnation(), server.service, notice.rejection_limit, sent_at},
        gateway_state::now(), m_state.time_of_day());
    if (has_changed)
    {
        m_state.slots.apply_limits();
        m_state.limit_updates.notify();
    }
}

std::optional<double>
upstream_limiter::limit_of(const upstream_incarnation& server) const
{
    const auto& limits = std::as_const(m_state.quota).shared().limits();
    const auto* known = limits.find(server.id);
    const bool is_current =
        known != nullptr && !server.is_newer_than(known->server);
    return is_current ? known->per_second : std::nullopt;
}

awaitable<std::optional<send_permit>>
upstream_limiter::acquire(server_entry server)
{
    // 1. A slot, if the upstream crashes when it rejects many requests.
    if (m_state.slots.needs_slot(server, m_state.time_of_day()))
    {
        const bool is_granted = co_await m_state.slots.acquire(server);
        if (!is_granted)
        {
            m_without_slot.add(server.id.value());
            m_state.choice.pass_over(
                server.incarnation(),
                gateway_state::now() +
                    slot_back_off * absl::Uniform(m_state.random, 0.5, 1.5));
            co_return std::nullopt;
        }
    }
    auto slot = m_state.slots.hold(server.id);
    // 2. A request out of its rate limit, if it has one.
    const auto limit = limit_of(server.incarnation());
    if (!limit)
    {
        co_return send_permit(upstream_id(), std::move(slot));
    }
    const auto verdict = co_await m_state.quota.take(server.id, 1);
    if (verdict.is_within)
    {
        co_return send_permit(server.id, std::move(slot));
    }
    m_passed_over.add(server.id.value());
    const auto pause =
        grant_back_off(*limit, m_state.quota.shared().fleet_size(),
                       absl::Uniform(m_state.random, 0.0, 1.0));
    m_state.choice.pass_over(server.incarnation(),
                             gateway_state::now() + pause);
    co_return std::nullopt;
}

void upstream_limiter::refund(send_permit permit)
{
    if (!permit.m_counted.empty())
    {
        m_state.quota.shared().refund(permit.m_counted, 1);
    }
}

std::optional<absl::Duration>
upstream_limiter::reserve_retry(const service_name& service)
{
    double per_second = 0;
    for (const auto& server : m_state.servers.usable(service))
    {
        per_second += limit_of(server.entry->incarnation()).value_or(0);
    }
    if (per_second <= 0)
    {
        return std::nullopt;
    }
    const auto hosts = static_cast<double>(m_state.quota.shared().fleet_size());
    return m_retries[service].reserve(per_second / hosts, gateway_state::now());
}

void upstream_limiter::run_maintenance()
{
    if (!m_passed_over.is_empty())
    {
        log(events::upstream_limit_reached,
            {{"count", std::to_string(m_passed_over.count())},
             {"servers", m_passed_over.names()}});
        m_passed_over.clear();
    }
    if (!m_without_slot.is_empty())
    {
        log(events::upstream_slots_exhausted,
            {{"count", std::to_string(m_without_slot.count())},
             {"servers", m_without_slot.names()}});
        m_without_slot.clear();
    }
    const auto is_gone = [this](const upstream_incarnation& server)
    {
        const auto* listed = m_state.servers.find(server.id);
        return listed == nullptr || listed->incarnation().is_newer_than(server);
    };
    m_state.quota.shared().evict_limits(is_gone, gateway_state::now());
    m_state.slots.limits().table().evict(is_gone, gateway_state::now());
}

void upstream_limiter::log_unreadable(const server_entry& server)
{
    const auto known = m_unreadable.find(server.id);
    const bool is_logged =
        known != m_unreadable.end() && known->second == server.started_at;
    if (is_logged)
    {
        return;
    }
    if (m_unreadable.size() >= max_unreadable)
    {
        m_unreadable.clear();
    }
    m_unreadable[server.id] = server.started_at;
    log(events::upstream_limit_unreadable,
        {{"server", server.id.value()},
         {"born", std::to_string(server.started_at.value())}});
}

void apply_limit_change(gateway_state& state, const limit_update& update)
{
    const auto& record = update.record;
    if (record.per_second == update.previous)
    {
        return;
    }
    const bool is_local = update.origin == limit_origin::response;
    const auto age = state.time_of_day() - record.advertised_at;
    log(record.kind == limit_kind::requests
            ? events::upstream_limit_changed
            : events::upstream_rejection_limit_changed,
        {{"server", record.server.id.value()},
         {"born", std::to_string(record.server.started_at.value())},
         {"limit", format_limit(record.per_second)},
         {"before", format_limit(update.previous)},
         {"origin", is_local ? "answer" : "peer"},
         {"age_ms", std::to_string(absl::ToInt64Milliseconds(age))}});
    state.choice.pass_over(record.server, absl::InfinitePast());
}

} // namespace daleshelf
