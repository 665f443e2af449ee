#include "server_notices.hpp"

#include <algorithm>
#include <platform/request_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

void apply_leaving(gateway_state& state, const server_entry& server)
{
    const bool is_new = state.servers.mark_draining(server.incarnation());
    if (!is_new)
    {
        return;
    }
    state.pool.drop(server.id);
    log(events::upstream_leaving,
        {{"server", server.id.value()},
         {"born", std::to_string(server.started_at.value())},
         {"origin", "answer"}});
}

// The keepers of the upstream's slots bound the rejections of the whole fleet.
// A host backs off for the time in which its report reaches them, and for no
// longer than the period in which the upstream counts.
absl::Duration rejection_back_off(gateway_state& state, double limit)
{
    constexpr double min_seconds = 0.25;
    constexpr double max_seconds = 1;
    const auto hosts = static_cast<double>(state.quota.shared().fleet_size());
    const auto seconds =
        std::clamp(hosts / std::max(limit, 1.0), min_seconds, max_seconds);
    return absl::Seconds(seconds * absl::Uniform(state.random, 1.0, 1.5));
}

void apply_rejection_limit(gateway_state& state, const server_entry& server,
                           const platform::server_notice& notice)
{
    if (notice.withdraws_rejection_limit)
    {
        state.choice.set_rejects_safely(server.incarnation(), true);
    }
    if (!notice.rejection_limit)
    {
        return;
    }
    state.choice.set_rejects_safely(server.incarnation(), false);
    if (!notice.is_rejected)
    {
        return;
    }
    const auto now = gateway_state::now();
    state.slots.record_rejection(server.id);
    const auto pause = rejection_back_off(state, *notice.rejection_limit);
    state.choice.set_back_off(server.incarnation(), now + pause, now);
    log(events::upstream_rests,
        {{"server", server.id.value()},
         {"born", std::to_string(server.started_at.value())},
         {"rejection_limit", std::to_string(*notice.rejection_limit)},
         {"rest_ms", std::to_string(absl::ToInt64Milliseconds(pause))}});
}

} // namespace

void apply_notice(gateway_state& state, const server_entry& server,
                  const platform::server_notice& notice, absl::Time sent_at)
{
    state.limits.record_response(server, notice, sent_at);
    // The list of upstreams can lag behind for longer than an upstream takes to
    // drain: its own notice came up to 12 s before the list's.
    if (notice.is_leaving)
    {
        apply_leaving(state, server);
    }
    apply_rejection_limit(state, server, notice);
    if (notice.back_off)
    {
        const auto now = gateway_state::now();
        state.choice.set_back_off(server.incarnation(),
                                  now + absl::FromChrono(*notice.back_off),
                                  now);
        log(events::upstream_rests,
            {{"server", server.id.value()},
             {"born", std::to_string(server.started_at.value())},
             {"rest_ms", std::to_string(notice.back_off->count())}});
    }
}

} // namespace daleshelf
