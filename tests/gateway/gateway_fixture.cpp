#include "gateway_fixture.hpp"

#include <algorithm>
#include <base/text.hpp>
#include <future>

namespace daleshelf
{

namespace
{

const service_name service("service");
constexpr const char* tenant_key = "key";

gateway_settings make_settings()
{
    gateway_settings settings;
    settings.host_id = "gateway";
    settings.host_hall = "here";
    settings.retry_slack = 1000;
    return settings;
}

ingress_route make_route(const std::string& prefix, request_kind kind,
                         bool is_resumable)
{
    ingress_route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.kind = kind;
    route.is_resumable = is_resumable;
    route.max_attempts = kind == request_kind::unsafe ? 1 : 2;
    route.is_public = true;
    route.timeout = milliseconds(5000);
    route.targets = {{service, 1}};
    return route;
}

std::size_t stated_length(const std::string& head)
{
    constexpr std::string_view name = "content-length:";
    const auto lower = to_lower(head);
    const auto at = lower.find(name);
    if (at == std::string::npos)
    {
        return 0;
    }
    const auto end = lower.find("\r\n", at);
    const auto text = std::string_view(lower).substr(at + name.size(),
                                                     end - at - name.size());
    return static_cast<std::size_t>(parse_integer(trim(text)).value_or(0));
}

} // namespace

test_connection::test_connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
}

test_connection::~test_connection()
{
    close();
}

bool test_connection::send(const std::string& bytes)
{
    error_code error;
    asio::write(m_socket, asio::buffer(bytes), error);
    return !error;
}

std::string test_connection::read_message()
{
    auto end = m_input.find("\r\n\r\n");
    while (end == std::string::npos && read_some())
    {
        end = m_input.find("\r\n\r\n");
    }
    if (end == std::string::npos)
    {
        return std::exchange(m_input, {});
    }
    const auto size = end + 4 + stated_length(m_input.substr(0, end));
    while (m_input.size() < size && read_some())
    {
    }
    auto message = m_input.substr(0, size);
    m_input.erase(0, message.size());
    if (m_message_counter != nullptr && !message.empty())
    {
        ++*m_message_counter;
    }
    return message;
}

std::string test_connection::read_until(const std::string& text)
{
    // Text before this offset has been searched.
    std::size_t searched = 0;
    while (m_input.find(text, searched) == std::string::npos)
    {
        searched = m_input.size() - std::min(m_input.size(), text.size());
        if (!read_some())
        {
            break;
        }
    }
    return std::exchange(m_input, {});
}

std::string test_connection::read_all()
{
    while (read_some())
    {
    }
    return std::exchange(m_input, {});
}

void test_connection::close()
{
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void test_connection::stop_reading()
{
    ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

void test_connection::reset()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

bool test_connection::read_some()
{
    std::array<char, 4096> bytes{};
    error_code error;
    const auto size = m_socket.read_some(asio::buffer(bytes), error);
    m_input.append(bytes.data(), size);
    m_was_reset = m_was_reset || error == asio::error::connection_reset;
    return !error;
}

scripted_server::scripted_server(script serve)
    : m_serve(std::move(serve))
    , m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    , m_address(concat("127.0.0.1:",
                       static_cast<int>(m_acceptor.local_endpoint().port())))
    , m_acceptor_thread([this] { accept_all(); })
{
}

scripted_server::~scripted_server()
{
    crash();
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

void scripted_server::crash()
{
    if (m_is_stopping.exchange(true))
    {
        return;
    }
    // A connection to itself unblocks the pending accept.
    error_code ignored;
    asio::ip::tcp::socket last(m_context);
    last.connect(m_acceptor.local_endpoint(), ignored);
    m_acceptor_thread.join();
    m_acceptor.close(ignored);
    const std::lock_guard lock(m_mutex);
    for (const auto& connection : m_connections)
    {
        connection->stop_reading();
    }
}

void scripted_server::accept_all()
{
    while (true)
    {
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
        error_code error;
        m_acceptor.accept(*socket, error);
        if (error || m_is_stopping)
        {
            return;
        }
        ++m_connection_count;
        const auto connection =
            std::make_shared<test_connection>(std::move(*socket));
        connection->set_message_counter(m_request_count);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.push_back(connection);
        }
        m_threads.emplace_back(
            [this, connection]
            {
                m_serve(*connection);
                connection->close();
            });
    }
}

gateway_fixture::gateway_fixture()
    : m_state(m_context, make_settings())
    , m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
{
    asio::co_spawn(
        m_context, [this] { return accept_all(); }, asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

gateway_fixture::~gateway_fixture()
{
    stop();
}

void gateway_fixture::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void gateway_fixture::configure()
{
    ingress_configuration configuration;
    configuration.version = 1;
    configuration.routes = {
        make_route("/safe/", request_kind::safe, false),
        make_route("/unsafe/", request_kind::unsafe, false),
        make_route("/stream/", request_kind::streaming, true),
        make_route("/fixed/", request_kind::streaming, false)};
    ingress_service served;
    served.name = service;
    configuration.services = {served};
    on_loop(
        [&]
        {
            m_state.routes =
                std::make_shared<const route_table>(std::move(configuration));
        });
}

void gateway_fixture::make_engines()
{
    on_loop(
        [&]
        {
            auto configuration = m_state.routes->configuration();
            configuration.services.front().is_engine = true;
            configuration.services.front().engine_slots = 1;
            m_state.routes =
                std::make_shared<const route_table>(std::move(configuration));
        });
}

void gateway_fixture::limit_tenant(const tenant_limit& limit)
{
    on_loop(
        [&]
        {
            auto configuration = m_state.routes->configuration();
            auto route = make_route("/own/", request_kind::safe, false);
            route.is_public = false;
            configuration.routes.push_back(route);
            ingress_tenant tenant;
            tenant.name = workspace_id("studio");
            tenant.keys = {tenant_key};
            tenant.limit = limit;
            configuration.tenants = {tenant};
            m_state.quota.shared().set_limits(configuration.tenants);
            m_state.routes =
                std::make_shared<const route_table>(std::move(configuration));
        });
}

void gateway_fixture::add_server(const std::string& id,
                                 const scripted_server& server)
{
    server_entry entry;
    entry.id = upstream_id(id);
    entry.service = service;
    entry.address = server.address();
    entry.hall = hall_id("here");
    entry.slots = 4;
    on_loop([&] { m_state.servers.set(entry); });
}

void gateway_fixture::refill_retry_budget()
{
    on_loop(
        [&]
        {
            constexpr int requests_per_retry = 10;
            for (int number = 0; number < requests_per_retry; ++number)
            {
                m_state.retries.count_request(service);
            }
        });
}

void gateway_fixture::drain_retry_budget()
{
    while (take_retry())
    {
    }
}

bool gateway_fixture::take_retry()
{
    bool is_taken = false;
    on_loop([&] { is_taken = m_state.retries.try_take(service); });
    return is_taken;
}

void gateway_fixture::on_loop(const std::function<void()>& run)
{
    std::promise<void> done;
    asio::post(m_context,
               [&]
               {
                   run();
                   done.set_value();
               });
    done.get_future().wait();
}

std::unique_ptr<test_connection> gateway_fixture::connect()
{
    static asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(m_acceptor.local_endpoint());
    return std::make_unique<test_connection>(std::move(socket));
}

std::string gateway_fixture::fetch(const std::string& path,
                                   const std::string& id)
{
    const auto client = connect();
    client->send(request_for(path, id));
    return client->read_message();
}

std::optional<call_response> gateway_fixture::call(const std::string& address,
                                                   milliseconds timeout,
                                                   std::size_t max_body_bytes)
{
    std::unique_ptr<http_caller> caller;
    std::promise<std::optional<call_response>> response;
    on_loop(
        [&]
        {
            caller = std::make_unique<http_caller>(m_context, address,
                                                   max_body_bytes);
            asio::co_spawn(
                m_context,
                [&]() -> awaitable<void>
                {
                    platform::store_call call{"GET", "/", "", ""};
                    auto received =
                        co_await caller->call(std::move(call), timeout);
                    response.set_value(std::move(received));
                },
                asio::detached);
        });
    auto received = response.get_future().get();
    on_loop([&] { caller.reset(); });
    return received;
}

std::string gateway_fixture::request_for(const std::string& path,
                                         const std::string& id)
{
    return concat("GET ", path, " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ", id,
                  "\r\nX-Credential: ", tenant_key,
                  "\r\nX-Deadline-Ms: 5000\r\n\r\n");
}

awaitable<void> gateway_fixture::accept_all()
{
    while (true)
    {
        auto [error, socket] = co_await m_acceptor.async_accept(use_result);
        if (error)
        {
            co_return;
        }
        const auto session =
            std::make_shared<client_session>(m_state, std::move(socket));
        asio::co_spawn(
            m_context, [session] { return session->run(); }, asio::detached);
    }
}

std::string make_response(const std::string& id, const std::string& body,
                          int status)
{
    return concat("HTTP/1.1 ", status, " Any\r\nX-Attempt-Id: ", id,
                  "\r\nX-Server-Seal: seal\r\nContent-Length: ", body.size(),
                  "\r\n\r\n", body);
}

std::string stream_head(const std::string& id, const std::string& signature)
{
    return concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id,
                  "\r\nX-Server-Seal: ", signature,
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
}

std::string event_chunk(int id, const std::string& data)
{
    const auto event = concat("id: ", id, "\ndata: ", data, "\n\n");
    return concat(to_hexadecimal(event.size()), "\r\n", event, "\r\n");
}

std::string id_of(const std::string& request)
{
    constexpr std::string_view name = "X-Attempt-Id: ";
    const auto at = request.find(name);
    if (at == std::string::npos)
    {
        return "";
    }
    const auto start = at + name.size();
    return request.substr(start, request.find("\r\n", start) - start);
}

} // namespace daleshelf
