/// @file
/// One request at a server and the means to answer it.
#pragma once

#include "http_message.hpp"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct MHD_Connection;
struct MHD_Response;

namespace daleshelf
{

/// A request that is answered once, at once or later, from any thread.
///
/// The answer is either whole (`respond`) or a stream (`start_stream`, then
/// `write`, then `finish`). What comes after the answer has ended is ignored.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// @param connection the library's connection
    /// @param is_closing whether connections are closed after their answer
    http_exchange(MHD_Connection* connection,
                  const std::atomic<bool>& is_closing);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    ~http_exchange() = default;

    [[nodiscard]] const http_request& request() const
    {
        return m_request;
    }

    /// Answers with a whole response.
    void respond(http_response response);

    /// Begins an answer whose body is written piece by piece.
    /// @param status the HTTP status
    /// @param content_type the body's type
    /// @param headers further headers
    void start_stream(int status, std::string content_type,
                      std::vector<http_header> headers = {});

    /// Adds bytes to a streamed body.
    /// @return false if the caller has gone
    bool write(std::string_view bytes);

    /// Ends a streamed body properly.
    void finish();

    /// @return whether the caller has gone or the answer was sent whole
    [[nodiscard]] bool is_closed() const;

    /// @param handler called once when the connection is done with this
    ///                exchange, on a server thread
    void set_close_handler(std::function<void()> handler);

private:
    friend class http_server;

    enum class answer_state
    {
        none,
        whole,
        streaming,
        finished,
    };

    static ssize_t read_body(void* cls, std::uint64_t position, char* buffer,
                             std::size_t size);
    static void free_reader(void* cls);
    bool queue_or_suspend();
    MHD_Response* make_response() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resume_if_suspended() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void close();

    const std::atomic<bool>& m_is_closing;
    http_request m_request;
    bool m_is_too_large = false;
    bool m_is_shed = false; ///< its body was dropped for want of memory
    bool m_is_dispatched = false;

    mutable absl::Mutex m_mutex;
    MHD_Connection* m_connection ABSL_GUARDED_BY(m_mutex);
    answer_state m_state ABSL_GUARDED_BY(m_mutex) = answer_state::none;
    bool m_is_suspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_is_closed ABSL_GUARDED_BY(m_mutex) = false;
    http_response m_response ABSL_GUARDED_BY(m_mutex);
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_close_handler ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf
