#include "host_requester.hpp"

#include <algorithm>
#include <utility>

namespace daleshelf
{

host_requester::host_requester(hall_id hall, std::string session,
                               const host_request_options& options,
                               std::uint64_t seed)
    : m_hall(std::move(hall))
    , m_session(std::move(session))
    , m_options(options)
    , m_backoff(options.shortest_pause, options.longest_pause, seed)
{
}

std::optional<host_request_action> host_requester::on_tick(bool is_short,
                                                           absl::Time now)
{
    m_short_since =
        is_short ? std::min(m_short_since, now) : absl::InfiniteFuture();
    const auto token =
        m_hall.value() + "-" + m_session + "-" + std::to_string(m_orders);
    if (m_state == state::in_doubt && now >= m_next)
    {
        m_state = state::waiting_for_answer;
        return host_request_action{host_request_action::kind::look_up, token};
    }
    if (m_state == state::starting && now >= m_next)
    {
        m_state = state::idle;
    }
    const bool is_due = m_state == state::idle && now >= m_next &&
                        now - m_short_since >= m_options.patience;
    if (!is_due)
    {
        return std::nullopt;
    }
    ++m_orders;
    m_state = state::waiting_for_answer;
    return host_request_action{host_request_action::kind::order,
                               m_hall.value() + "-" + m_session + "-" +
                                   std::to_string(m_orders),
                               !m_is_reclaimable_refused};
}

void host_requester::on_started(absl::Time now)
{
    m_state = state::starting;
    m_is_reclaimable_refused = false;
    m_backoff.reset();
    m_next = now + m_options.start_time;
}

void host_requester::on_refused(absl::Time now)
{
    m_state = state::idle;
    // Next time the other kind: on demand after reclaimable, and back.
    m_is_reclaimable_refused = !m_is_reclaimable_refused;
    m_next = now + m_backoff.next();
}

void host_requester::on_unknown(absl::Time now)
{
    m_state = state::in_doubt;
    m_next = now + m_backoff.next();
}

void host_requester::on_absent(absl::Time now)
{
    m_state = state::idle;
    m_next = now + m_backoff.next();
}

} // namespace daleshelf
