/// @file
/// A TCP connection that is read continuously, so that a close is seen at once.
#pragma once

#include "async_event.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// State of a connection.
enum class channel_state
{
    open,
    finished, ///< the peer has closed its side in order
    broken,   ///< reset, timed out, or closed here
};

/// Reads all input into a bounded buffer, independently of writes. One
/// coroutine at a time consumes the input.
class byte_channel : public std::enable_shared_from_this<byte_channel>
{
public:
    /// How many bytes the input holds at first: more than the longest head of
    /// an upstream. Beyond that, the peer gets TCP backpressure.
    static constexpr std::size_t default_max_input = 81920;

    explicit byte_channel(asio::ip::tcp::socket socket);
    byte_channel(const byte_channel&) = delete;
    byte_channel& operator=(const byte_channel&) = delete;
    ~byte_channel() = default;

    /// Starts reading.
    void start();

    /// @return the received bytes that were not consumed yet
    [[nodiscard]] std::string_view input() const
    {
        return std::string_view(m_input).substr(m_consumed);
    }

    /// Removes bytes from the start of the input.
    void consume(std::size_t size);

    /// Sets how many bytes the input may hold.
    void set_input_limit(std::size_t bytes);

    /// @return the bytes that are allocated for input
    [[nodiscard]] std::size_t input_capacity() const
    {
        return m_input.capacity();
    }

    /// Lets a pending wait for input return.
    void interrupt_wait()
    {
        m_input_arrived.notify();
    }

    /// Waits for more input, or for the connection to close.
    /// @return whether either happened before the deadline
    awaitable<bool> wait_input(monotonic::time_point deadline);

    /// Writes all bytes.
    /// @param until when the connection is reset if bytes are still unsent
    /// @return the number of bytes written, and whether all were
    struct write_result
    {
        std::size_t size = 0;
        bool is_complete = false;
    };
    awaitable<write_result>
    write(std::string_view bytes,
          std::optional<monotonic::time_point> until = std::nullopt);

    /// Closes the connection; all pending waits return.
    void close();

    /// Resets the connection: unsent bytes, as held up by a network cut, are
    /// dropped instead of arriving long after the request was aborted.
    void reset();

    /// Closes the sending side and continues to read.
    void finish_sending();

    [[nodiscard]] channel_state connection_state() const
    {
        return m_connection_state;
    }

    /// @return whether the connection is open and has no unread input, as
    /// required before the next message
    [[nodiscard]] bool is_idle() const
    {
        return m_connection_state == channel_state::open && input().empty();
    }

    /// Sets the handler called once when the open connection closes.
    void set_close_handler(std::function<void()> handler)
    {
        m_close_handler = std::move(handler);
    }

    [[nodiscard]] asio::ip::tcp::socket& socket()
    {
        return m_socket;
    }

    /// @return when the blocked write in progress started, if there is one
    [[nodiscard]] std::optional<monotonic::time_point> writing_since() const
    {
        return m_writing_since;
    }

private:
    awaitable<void> read_loop();
    awaitable<write_result>
    write_rest(std::string_view bytes,
               std::optional<monotonic::time_point> until);
    void change_state(channel_state new_state);

    asio::ip::tcp::socket m_socket;
    async_event m_input_arrived;
    async_event m_input_drained;
    std::string m_input;
    std::size_t m_consumed = 0;
    std::size_t m_max_input = default_max_input;
    channel_state m_connection_state = channel_state::open;
    std::function<void()> m_close_handler;
    std::optional<monotonic::time_point> m_writing_since;
};

} // namespace daleshelf
