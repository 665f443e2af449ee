#include "server_notices.hpp"

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
