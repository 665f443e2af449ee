/// @file
/// A gateway's request path in this process, with servers that do as told.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <gateway/client_session.hpp>
#include <gateway/gateway_state.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace daleshelf
{

/// A blocking connection of the test's own.
class test_connection
{
public:
    explicit test_connection(asio::ip::tcp::socket socket);
    ~test_connection();
    test_connection(const test_connection&) = delete;
    test_connection& operator=(const test_connection&) = delete;

    /// Sends bytes; errors are left to `read_...` to show.
    void send(const std::string& bytes);

    /// Reads a head and a body of the stated length.
    /// @return the bytes, or what came before the connection ended
    std::string read_message();

    /// Reads until the connection ends.
    std::string read_all();

    /// @return whether the other side has reset the connection
    [[nodiscard]] bool was_reset() const
    {
        return m_was_reset;
    }

    /// Sets what counts the whole messages that are read.
    void set_message_counter(std::atomic<int>& counter)
    {
        m_message_counter = &counter;
    }

    /// Ends the connection in order.
    void close();

    /// Ends every wait for input; for another thread.
    void stop_reading();

    /// Ends the connection by a reset.
    void reset();

private:
    bool read_some();

    asio::ip::tcp::socket m_socket;
    std::string m_input;
    bool m_was_reset = false;
    std::atomic<int>* m_message_counter = nullptr;
};

/// A server: each connection is served by a function on its own thread.
class scripted_server
{
public:
    using script = std::function<void(test_connection& connection)>;

    explicit scripted_server(script serve);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// Ends as a process does: its connections end, its port refuses others.
    void crash();

    [[nodiscard]] std::string address() const
    {
        return m_address;
    }

    /// @return connections taken so far
    [[nodiscard]] int connections() const
    {
        return m_connection_count;
    }

    /// @return requests read so far; a connection may bring none
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

/// The request path on a thread of its own.
class gateway_fixture : public testing::Test
{
protected:
    gateway_fixture();
    ~gateway_fixture() override;

    /// Declares the routes `/safe/`, `/unsafe/`, `/stream/`, `/fixed/` (a
    /// stream that cannot be resumed) of one service.
    void configure();

    /// Makes the service one of engines.
    void make_engines();

    /// Adds the route `/own/`, of one tenant with a limit in requests.
    void limit_tenant(const tenant_limit& limit);

    /// Lists a server.
    void add_server(const std::string& id, const scripted_server& server);

    /// Runs a function on the gateway's thread and waits for it.
    void on_loop(const std::function<void()>& run);

    /// @return a new connection of a client
    std::unique_ptr<test_connection> connect();

    /// Sends one request and reads the whole answer.
    std::string fetch(const std::string& path, const std::string& id = "1");

    static std::string request_for(const std::string& path,
                                   const std::string& id = "1");

    asio::io_context m_context{1};
    gateway_state m_state;

private:
    awaitable<void> accept_all();

    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// @return a whole answer with a length, a signature and the request's id
std::string make_response(const std::string& id, const std::string& body,
                          int status = 200);

/// @return the head of a stream in chunks
std::string stream_head(const std::string& id,
                        const std::string& signature = "seal");

/// @return one event as a chunk
std::string event_chunk(int id, const std::string& data);

/// Ends a body in chunks.
inline const std::string last_chunk = "0\r\n\r\n";

/// @return the id that a request carries
std::string id_of(const std::string& request);

} // namespace daleshelf
