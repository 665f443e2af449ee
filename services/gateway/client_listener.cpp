#include "client_listener.hpp"

#include "client_capacity.hpp"
#include "simple_http_server.hpp"

#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

client_listener::client_listener(gateway_state& state,
                                 const std::string& address)
    : m_state(state)
    , m_acceptor(open_acceptor(state.context, address))
    , m_connection_limit(client_capacity_of(state.settings).connections)
{
    // Accepted connections inherit the size; without one, the kernel lets each
    // of them grow to megabytes.
    error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(
                              client_capacity::receive_buffer_bytes),
                          ignored);
}

void client_listener::start()
{
    asio::co_spawn(
        m_state.context, [this] { return accept_all(); }, asio::detached);
}

void client_listener::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void client_listener::close_idle()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
    {
        session->close_if_idle();
    }
}

void client_listener::close_stalled(monotonic::time_point now)
{
    for (const auto& session : m_sessions)
    {
        session->close_if_stalled(now);
    }
}

void client_listener::expire_requests()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
    {
        session->expire();
    }
}

void client_listener::log_evictions()
{
    if (m_evicted == 0 && m_rejected == 0)
    {
        return;
    }
    log(events::client_connections_closed,
        {{"closed", std::exchange(m_evicted, 0)},
         {"rejected", std::exchange(m_rejected, 0)},
         {"open", static_cast<std::int64_t>(m_sessions.size())},
         {"limit", static_cast<std::int64_t>(m_connection_limit)}});
}

awaitable<void> client_listener::accept_all()
{
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_result);
        if (error)
        {
            // Out of descriptors, or closed: neither stops the process.
            const bool has_room =
                error == asio::error::no_descriptors && evict_connection();
            if (!has_room)
            {
                boot_timer pause(m_state.context, accept_retry_delay);
                co_await pause.async_wait(use_result);
            }
            continue;
        }
        if (m_sessions.size() >= m_connection_limit && !evict_connection())
        {
            // The client learns at once that nothing was read.
            ++m_rejected;
            m_state.meter.count_closed_connection("rejected");
            error_code ignored;
            socket.close(ignored);
            continue;
        }
        const auto session =
            std::make_shared<client_session>(m_state, std::move(socket));
        m_sessions.insert(session);
        asio::co_spawn(
            m_state.context, [this, session] { return serve(session); },
            asio::detached);
    }
}

awaitable<void> client_listener::serve(std::shared_ptr<client_session> session)
{
    co_await session->run();
    m_sessions.erase(session);
}

// Closes the connection that has waited for its client for longest.
// @return whether there was one
bool client_listener::evict_connection()
{
    std::shared_ptr<client_session> longest;
    std::optional<monotonic::time_point> since;
    for (const auto& session : m_sessions)
    {
        const auto waiting_since = session->waiting_since();
        if (!waiting_since || (since && *since <= *waiting_since))
        {
            continue;
        }
        longest = session;
        since = waiting_since;
    }
    if (longest == nullptr)
    {
        return false;
    }
    longest->close();
    ++m_evicted;
    m_state.meter.count_closed_connection("evicted");
    return true;
}

} // namespace daleshelf
