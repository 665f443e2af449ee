/// @file
/// A TCP connection that is always read, so that its end is seen at once.
#pragma once

#include "async_event.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// How a connection has ended.
enum class channel_state
{
    open,
    finished, ///< the peer has closed it in order
    broken,   ///< reset, timed out, or closed here
};

/// Reads whatever comes into a bounded buffer while others write. One
/// coroutine at a time consumes what has come.
class byte_channel : public std::enable_shared_from_this<byte_channel>
{
public:
    explicit byte_channel(asio::ip::tcp::socket socket);
    byte_channel(const byte_channel&) = delete;
    byte_channel& operator=(const byte_channel&) = delete;
    ~byte_channel() = default;

    /// Begins to read.
    void start();

    /// @return bytes that have come and were not consumed
    [[nodiscard]] std::string_view input() const
    {
        return std::string_view(m_input).substr(m_consumed);
    }

    /// Drops the first bytes of the input.
    void consume(std::size_t size);

    /// Waits for more bytes, or for the connection's end.
    /// @return whether either has come before the deadline
    awaitable<bool> wait_input(monotonic::time_point deadline);

    /// Writes all bytes.
    /// @param until when the connection is reset if the peer has not taken them
    /// @return bytes that were taken, and whether all were
    struct write_result
    {
        std::size_t size = 0;
        bool is_complete = false;
    };
    awaitable<write_result>
    write(std::string_view bytes,
          std::optional<monotonic::time_point> until = std::nullopt);

    /// Ends the connection; every wait returns.
    void close();

    /// Ends the connection by a reset: bytes that a cut holds up are dropped
    /// instead of arriving long after they were given up.
    void reset();

    /// Tells the peer that nothing more comes, and goes on reading.
    void finish_sending();

    [[nodiscard]] channel_state connection_state() const
    {
        return m_connection_state;
    }

    /// @return whether the connection is open and has brought nothing unread,
    /// as it must be before the next message
    [[nodiscard]] bool is_idle() const
    {
        return m_connection_state == channel_state::open && input().empty();
    }

    /// Called once when the connection has ended, while it is being read.
    void set_close_handler(std::function<void()> handler)
    {
        m_close_handler = std::move(handler);
    }

    [[nodiscard]] asio::ip::tcp::socket& socket()
    {
        return m_socket;
    }

    /// @return since when a write has been under way, if one is
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
    channel_state m_connection_state = channel_state::open;
    std::function<void()> m_close_handler;
    std::optional<monotonic::time_point> m_writing_since;
};

} // namespace daleshelf
