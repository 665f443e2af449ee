/// @file
/// HTTP server on libmicrohttpd.
#pragma once

#include "forward.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct MHD_Connection;
struct MHD_Daemon;

namespace daleshelf
{

/// What a server listens on and what it accepts.
struct http_server_options
{
    std::string address;    ///< IP number
    std::uint16_t port = 0; ///< 0: any free port
    unsigned int threads = 2;
    unsigned int max_connections = 8192;
    std::size_t max_body_bytes = std::size_t{4} << 20U;
    /// Of all requests together; see `request_memory_limit`.
    std::size_t max_total_body_bytes = std::size_t{32} << 20U;
};

/// Accepts requests and hands each to a handler once its body is whole.
class http_server
{
public:
    using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    /// Starts to listen.
    /// @param options where to listen and the limits
    /// @param on_request called on a server thread; must not block
    /// @return the running server
    /// @throws std::runtime_error if the address cannot be listened on
    [[nodiscard]] static std::unique_ptr<http_server>
    create(const http_server_options& options, handler on_request);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Stops the server; exchanges that are not answered are cut off.
    ~http_server();

    /// @return the port listened on
    [[nodiscard]] std::uint16_t port() const;

    /// Takes no further connections; those that stand go on, and are closed
    /// after the next answer.
    void quiesce();

    /// @return how many exchanges have not ended
    [[nodiscard]] std::size_t open_exchanges() const;

private:
    http_server(const http_server_options& options, handler on_request);

    /// The functions that libmicrohttpd calls.
    struct callbacks;

    bool begin(MHD_Connection* connection, const char* url, const char* method,
               void** connection_state);
    void append_body(http_exchange& exchange, std::string_view data);
    void drop_body(http_exchange& exchange);
    void dispatch(const std::shared_ptr<http_exchange>& exchange);

    http_server_options m_options;
    handler m_on_request;
    MHD_Daemon* m_daemon = nullptr;
    int m_listen_socket = -1;
    std::atomic<bool> m_is_closing = false;
    std::atomic<std::size_t> m_body_bytes = 0; ///< of open exchanges
    mutable absl::Mutex m_mutex;
    absl::flat_hash_set<std::shared_ptr<http_exchange>>
        m_open ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf
