/// @file
/// Fixture that runs a gateway's request path in-process with scripted
/// upstreams.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <gateway/client_session.hpp>
#include <gateway/gateway_state.hpp>
#include <gateway/http_call.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace daleshelf
{

/// A blocking connection used by tests.
class test_connection
{
public:
    explicit test_connection(asio::ip::tcp::socket socket);
    ~test_connection();
    test_connection(const test_connection&) = delete;
    test_connection& operator=(const test_connection&) = delete;

    /// Sends bytes.
    /// @return whether all were sent; errors show when reading, too
    bool send(const std::string& bytes);

    /// Reads a head, and a body of the length that the head states.
    /// @return the bytes, or what was received before the connection closed
    std::string read_message();

    /// Reads until the text has been received, or the connection closes.
    /// @return everything received
    std::string read_until(const std::string& text);

    /// Reads until the connection closes.
    std::string read_all();

    /// @return whether the peer has reset the connection
    [[nodiscard]] bool was_reset() const
    {
        return m_was_reset;
    }

    /// Sets the counter of complete messages read.
    void set_message_counter(std::atomic<int>& counter)
    {
        m_message_counter = &counter;
    }

    /// Closes the connection in order.
    void close();

    /// Unblocks pending reads; can be called from another thread.
    void stop_reading();

    /// Resets the connection.
    void reset();

private:
    bool read_some();

    asio::ip::tcp::socket m_socket;
    std::string m_input;
    bool m_was_reset = false;
    std::atomic<int>* m_message_counter = nullptr;
};

/// An upstream that serves each connection by a function on its own thread.
class scripted_server
{
public:
    using script = std::function<void(test_connection& connection)>;

    explicit scripted_server(script serve);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// Simulates a crash: closes all connections and refuses new ones.
    void crash();

    [[nodiscard]] std::string address() const
    {
        return m_address;
    }

    /// @return the number of connections accepted so far
    [[nodiscard]] int connections() const
    {
        return m_connection_count;
    }

    /// @return the number of requests read so far; a connection can carry none
    [[nodiscard]] int requests() const
    {
        return m_request_count;
    }

private:
    void accept_all();

    script m_serve;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::atomic<int> m_connection_count = 0;
    std::atomic<int> m_request_count = 0;
    std::atomic<bool> m_is_stopping = false;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<test_connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor_thread;
};

/// Runs the request path on its own thread.
class gateway_fixture : public testing::Test
{
protected:
    gateway_fixture();
    ~gateway_fixture() override;

    /// Configures the routes `/safe/`, `/unsafe/`, `/stream/` and `/fixed/` (a
    /// stream that cannot be resumed) of one service.
    void configure();

    /// Makes the service's upstreams engines.
    void make_engines();

    /// Adds the route `/own/` of a workspace with a request quota.
    void limit_tenant(const tenant_limit& limit);

    /// Adds an upstream to the list.
    void add_server(const std::string& id, const scripted_server& server);

    /// Gives the service a retry budget of at least one attempt.
    void refill_retry_budget();

    /// Takes all retries of the service's budget.
    void drain_retry_budget();

    /// Takes a retry.
    /// @return whether the budget allowed it
    bool take_retry();

    /// Stops the event loop, before objects that its handlers use are
    /// destroyed.
    void stop();

    /// Runs a function on the gateway's thread and waits until it returns.
    void on_loop(const std::function<void()>& run);

    /// @return a new client connection
    std::unique_ptr<test_connection> connect();

    /// Sends one request and reads the complete response.
    std::string fetch(const std::string& path, const std::string& id = "1");

    /// Makes one call on a connection of its own.
    /// @return the response, or nothing if the call failed or timed out
    std::optional<call_response>
    call(const std::string& address, milliseconds timeout,
         std::size_t max_body_bytes = http_caller::max_page_bytes);

    static std::string request_for(const std::string& path,
                                   const std::string& id = "1");

    asio::io_context m_context{1};
    gateway_state m_state;

private:
    awaitable<void> accept_all();

    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// @return a response with a length, a signature and the request's id
std::string make_response(const std::string& id, const std::string& body,
                          int status = 200);

/// @return the head of a chunked event stream
std::string stream_head(const std::string& id,
                        const std::string& signature = "seal");

/// @return one event as a chunk
std::string event_chunk(int id, const std::string& data);

/// Last chunk of a chunked body.
inline const std::string last_chunk = "0\r\n\r\n";

/// @return the id in a request's head
std::string id_of(const std::string& request);

} // namespace daleshelf
