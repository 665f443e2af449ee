#include "server_notices.hpp"

#include <ingress/server_directory.hpp>
#include <platform/request_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

void heed(const server_entry& server, const platform::server_notice& notice)
{
    if (notice.is_leaving)
    {
        log(events::upstream_leaving,
            {{"server", server.id.value()},
             {"born", std::to_string(server.born.value())},
             {"listed", server.is_draining ? "draining" : "ready"}});
    }
    if (notice.rest)
    {
        log(events::upstream_rests,
            {{"server", server.id.value()},
             {"born", std::to_string(server.born.value())},
             {"rest_ms", std::to_string(notice.rest->count())}});
    }
}

} // namespace daleshelf
