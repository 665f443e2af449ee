/// @file
/// HTTP client: one thread, many transfers, on libcurl.
#pragma once

#include "http_message.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace daleshelf
{

/// Whether a transfer may use a connection that has served another one.
enum class connection_reuse
{
    allowed,
    /// NOTE: libcurl sends a request again by itself if a reused connection
    /// turns out dead. Whatever may run once only needs a connection of its
    /// own.
    forbidden,
};

/// What to send, and how long to wait.
struct http_client_request
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds timeout{0}; ///< of the whole transfer; 0: none
    connection_reuse reuse = connection_reuse::allowed;
};

/// How a transfer ended.
struct http_transfer_result
{
    int status = 0;       ///< 0 if no answer came
    std::string error;    ///< empty if the answer came whole
    bool is_sent = false; ///< whether any byte of the request left
    bool is_cancelled = false;

    [[nodiscard]] bool is_complete() const
    {
        return error.empty();
    }
};

/// What a transfer reports, on the client's thread.
struct http_transfer_handlers
{
    /// Status and headers are there.
    std::function<void(const http_response&)> on_head;
    /// A piece of the body is there.
    std::function<void(std::string_view)> on_body;
    /// The transfer has ended; called exactly once.
    std::function<void(const http_transfer_result&)> on_done;
};

/// Runs any number of transfers on one thread.
class http_client
{
public:
    using transfer_id = std::uint64_t;

    http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Stops.
    ~http_client();

    /// Cancels what is under way and ends the thread. Transfers started
    /// later are never run and report nothing.
    void stop();

    /// Starts a transfer; may be called from any thread.
    /// @param request what to send
    /// @param handlers what to call
    /// @return a number to cancel it by
    transfer_id start(http_client_request request,
                      http_transfer_handlers handlers);

    /// Ends a transfer; `on_done` still comes.
    void cancel(transfer_id id);

    /// Sends a request and waits for the whole answer. Not to be called from
    /// a handler.
    /// @param request what to send
    /// @return the answer
    /// @throws std::runtime_error if no whole answer came
    [[nodiscard]] http_response fetch(http_client_request request);

private:
    class event_loop;
    class transfer;

    std::unique_ptr<event_loop> m_loop;
    std::thread m_thread;
};

} // namespace daleshelf
