#include "upstream_limiter.hpp"

#include "gateway_state.hpp"

#include <platform/request_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_faulty = 1024;

std::string text_of(const std::optional<double>& limit)
{
    return limit ? std::to_string(*limit) : "none";
}

} // namespace

void upstream_limiter::record_answer(const server_entry& server,
                                     const platform::server_notice& notice,
                                     absl::Time sent_at)
{
    if (notice.has_faulty_limit)
    {
        log_faulty(server);
    }
    if (!notice.limit && !notice.ends_limit)
    {
        return;
    }
    const limit_table::answer seen{server.life(), notice.limit, sent_at};
    (void)m_limits.record_answer(seen, gateway_state::now(),
                                 m_state.time_of_day());
    for (const auto& update : m_limits.take_updates(1))
    {
        log_limit_change(update);
    }
}

void upstream_limiter::log_faulty(const server_entry& server)
{
    const auto known = m_faulty.find(server.id);
    const bool is_logged =
        known != m_faulty.end() && known->second == server.born;
    if (is_logged)
    {
        return;
    }
    if (m_faulty.size() >= most_faulty)
    {
        m_faulty.clear();
    }
    m_faulty[server.id] = server.born;
    log(events::upstream_limit_unreadable,
        {{"server", server.id.value()},
         {"born", std::to_string(server.born.value())}});
}

void log_limit_change(const limit_update& update)
{
    const auto& record = update.record;
    const bool is_own = update.origin == limit_origin::answer;
    log(events::upstream_limit_changed,
        {{"server", record.server.id.value()},
         {"born", std::to_string(record.server.born.value())},
         {"limit", text_of(record.per_second)},
         {"before", text_of(update.before)},
         {"origin", is_own ? "answer" : "peer"}});
}

} // namespace daleshelf
