/// @file
/// Accepts the connections of clients.
#pragma once

#include "client_session.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace daleshelf
{

/// Accepts client connections and bounds their number, so that descriptors are
/// left for upstreams, peers and the store. Beyond the bound, the connection
/// that has waited for its client for longest is closed for each new one.
class client_listener
{
public:
    /// @param address IP:PORT
    /// @throws std::invalid_argument if the address is not IP:PORT
    /// @throws boost::system::system_error if the address cannot be used
    client_listener(gateway_state& state, const std::string& address);

    /// Starts accepting connections.
    void start();

    /// Accepts no further connections; the open ones continue.
    void stop();

    /// Closes the connections that have no request in progress.
    void close_idle();

    /// Closes the connections whose clients have read nothing for too long.
    void close_stalled(monotonic::time_point now);

    /// Ends all requests in progress as at their deadlines.
    void expire_requests();

    /// Logs how many connections were closed for others since the last call.
    void log_evictions();

    [[nodiscard]] std::size_t connection_count() const
    {
        return m_sessions.size();
    }

    [[nodiscard]] std::size_t connection_limit() const
    {
        return m_connection_limit;
    }

private:
    awaitable<void> accept_all();
    awaitable<void> serve(std::shared_ptr<client_session> session);
    bool evict_connection();

    gateway_state& m_state;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connection_limit;
    std::set<std::shared_ptr<client_session>> m_sessions;
    std::int64_t m_evicted = 0;  ///< since the last log line
    std::int64_t m_rejected = 0; ///< new connections, likewise
};

} // namespace daleshelf
