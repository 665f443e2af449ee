#include "byte_channel.hpp"

#include <array>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t read_size = 8192;
// Memory of a larger input is released once the input is consumed.
constexpr std::size_t max_kept_capacity = 32768;

} // namespace

byte_channel::byte_channel(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_input_arrived(m_socket.get_executor())
    , m_input_drained(m_socket.get_executor())
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

void byte_channel::start()
{
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this()] { return self->read_loop(); },
        asio::detached);
}

void byte_channel::consume(std::size_t size)
{
    m_consumed += size;
    if (m_consumed == m_input.size() && m_input.capacity() > max_kept_capacity)
    {
        release_memory(m_input);
        m_consumed = 0;
    }
    else if (m_consumed == m_input.size())
    {
        m_input.clear();
        m_consumed = 0;
    }
    else if (m_consumed > read_size)
    {
        m_input.erase(0, m_consumed);
        m_consumed = 0;
    }
    if (m_input.size() < m_max_input)
    {
        m_input_drained.notify();
    }
}

void byte_channel::set_input_limit(std::size_t bytes)
{
    m_max_input = bytes;
    m_input_drained.notify();
}

awaitable<bool> byte_channel::wait_input(monotonic::time_point deadline)
{
    if (m_connection_state != channel_state::open)
    {
        co_return true;
    }
    co_return co_await m_input_arrived.wait_until(deadline);
}

awaitable<byte_channel::write_result>
byte_channel::write(std::string_view bytes,
                    std::optional<monotonic::time_point> until)
{
    write_result result;
    if (m_connection_state == channel_state::broken)
    {
        co_return result;
    }
    // Most writes fit into the socket's buffer and need no suspension.
    error_code error;
    result.size = m_socket.write_some(
        asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block)
    {
        change_state(channel_state::broken);
        co_return result;
    }
    if (result.size == bytes.size())
    {
        result.is_complete = true;
        co_return result;
    }
    const auto rest = co_await write_rest(bytes.substr(result.size), until);
    result.size += rest.size;
    result.is_complete = rest.is_complete;
    co_return result;
}

awaitable<byte_channel::write_result>
byte_channel::write_rest(std::string_view bytes,
                         std::optional<monotonic::time_point> until)
{
    write_result result;
    m_writing_since = monotonic::now();
    const auto is_writing = std::make_shared<bool>(true);
    boot_timer limit(m_socket.get_executor());
    if (until)
    {
        limit.expires_at(*until);
        limit.async_wait(
            [self = shared_from_this(), is_writing](const error_code& error)
            {
                if (!error && *is_writing)
                {
                    self->reset();
                }
            });
    }
    const auto buffer = asio::const_buffer(bytes.data(), bytes.size());
    const auto [error, size] =
        co_await asio::async_write(m_socket, buffer, use_result);
    *is_writing = false;
    m_writing_since.reset();
    result.size = size;
    result.is_complete = !error;
    if (error)
    {
        change_state(channel_state::broken);
    }
    co_return result;
}

void byte_channel::close()
{
    error_code ignored;
    m_socket.close(ignored);
    change_state(channel_state::broken);
}

void byte_channel::reset()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void byte_channel::finish_sending()
{
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

awaitable<void> byte_channel::read_loop()
{
    std::array<char, read_size> bytes; // NOLINT
    while (m_connection_state == channel_state::open)
    {
        if (m_input.size() >= m_max_input)
        {
            co_await m_input_drained.wait_for(std::chrono::seconds(1));
            continue;
        }
        const auto [error, size] = co_await m_socket.async_read_some(
            asio::mutable_buffer(bytes.data(), bytes.size()), use_result);
        if (m_connection_state != channel_state::open)
        {
            // The connection was closed while these bytes were being delivered:
            // a request in them could not be answered any more.
            co_return;
        }
        if (error)
        {
            change_state(error == asio::error::eof ? channel_state::finished
                                                   : channel_state::broken);
            co_return;
        }
        m_input.append(bytes.data(), size);
        m_input_arrived.notify();
    }
}

void byte_channel::change_state(channel_state new_state)
{
    if (m_connection_state == channel_state::broken ||
        m_connection_state == new_state)
    {
        return;
    }
    const bool was_open = m_connection_state == channel_state::open;
    m_connection_state = new_state;
    m_input_arrived.notify();
    m_input_drained.notify();
    if (was_open && m_close_handler)
    {
        m_close_handler();
    }
}

} // namespace daleshelf
