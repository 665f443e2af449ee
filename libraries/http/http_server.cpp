#include "http_server.hpp"

#include "http_exchange.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <base/http_status.hpp>
#include <base/request_memory_limit.hpp>
#include <base/text.hpp>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <stdexcept>
#include <unistd.h>
#include <utility>
#include <vector>

namespace daleshelf
{

namespace
{

constexpr unsigned int listen_backlog = 1024;
constexpr std::size_t connection_memory_bytes = 16384;

MHD_Result collect_header(void* cls, MHD_ValueKind, const char* key,
                          const char* value)
{
    auto& request = *static_cast<http_request*>(cls);
    request.headers[absl::AsciiStrToLower(key)] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result collect_parameter(void* cls, MHD_ValueKind, const char* key,
                             const char* value)
{
    auto& request = *static_cast<http_request*>(cls);
    request.query[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

sockaddr_in socket_address(const http_server_options& options)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
    {
        throw std::runtime_error("'" + options.address +
                                 "' is not an IPv4 number");
    }
    return address;
}

/// NOTE: the library reports no cause when it cannot listen, so the socket
/// is made here and handed over.
int listening_socket(const http_server_options& options)
{
    const auto address = socket_address(options);
    const int socket_handle =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto* name = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(socket_handle, name, sizeof(address)) != 0 ||
        ::listen(socket_handle, listen_backlog) != 0)
    {
        const std::string cause = std::strerror(errno);
        ::close(socket_handle);
        throw std::runtime_error("cannot listen on " + options.address + ":" +
                                 std::to_string(options.port) + ": " + cause);
    }
    return socket_handle;
}

http_response too_large_response(std::size_t limit)
{
    http_response response;
    response.status = http_status::payload_too_large;
    response.body = R"({"error":{"message":"the body is larger than )" +
                    std::to_string(limit) +
                    R"( bytes","type":"invalid_request_error",)"
                    R"("code":"body_too_large","verdict":"not_run"}})";
    return response;
}

http_response overloaded_response()
{
    http_response response;
    response.status = http_status::unavailable;
    response.headers = {{"Retry-After", "1"}};
    response.body =
        R"({"error":{"message":"other requests use the memory for bodies",)"
        R"("type":"overloaded_error","code":"request_memory",)"
        R"("verdict":"not_run"}})";
    return response;
}

} // namespace

struct http_server::callbacks
{
    static MHD_Result result(bool is_accepted)
    {
        return is_accepted ? MHD_YES : MHD_NO;
    }

    static MHD_Result on_access(void* cls, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char*, const char* upload_data,
                                std::size_t* upload_size,
                                void** connection_state)
    {
        auto& self = *static_cast<http_server*>(cls);
        if (*connection_state == nullptr)
        {
            return result(
                self.begin(connection, url, method, connection_state));
        }
        auto& exchange =
            *static_cast<std::shared_ptr<http_exchange>*>(*connection_state);
        if (*upload_size > 0)
        {
            self.append_body(*exchange, {upload_data, *upload_size});
            *upload_size = 0;
            return MHD_YES;
        }
        if (!exchange->m_is_dispatched)
        {
            self.dispatch(exchange);
        }
        return result(exchange->queue_or_suspend());
    }

    static void on_completed(void* cls, MHD_Connection*,
                             void** connection_state,
                             MHD_RequestTerminationCode)
    {
        auto& self = *static_cast<http_server*>(cls);
        if (*connection_state == nullptr)
        {
            return;
        }
        auto* holder =
            static_cast<std::shared_ptr<http_exchange>*>(*connection_state);
        const auto exchange = *holder;
        delete holder;
        *connection_state = nullptr;
        self.m_body_bytes -= exchange->m_request.body.size();
        {
            absl::MutexLock lock(&self.m_mutex);
            self.m_open.erase(exchange);
        }
        exchange->close();
    }
};

std::unique_ptr<http_server>
http_server::create(const http_server_options& options, handler on_request)
{
    return std::unique_ptr<http_server>(
        new http_server(options, std::move(on_request)));
}

http_server::http_server(const http_server_options& options, handler on_request)
    : m_options(options)
    , m_on_request(std::move(on_request))
    , m_listen_socket(listening_socket(options))
{
    const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
                               MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC |
                               MHD_USE_ERROR_LOG;
    m_daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &callbacks::on_access, this,
        MHD_OPTION_LISTEN_SOCKET, m_listen_socket, MHD_OPTION_THREAD_POOL_SIZE,
        m_options.threads, MHD_OPTION_CONNECTION_LIMIT,
        m_options.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        connection_memory_bytes, MHD_OPTION_NOTIFY_COMPLETED,
        &callbacks::on_completed, this, MHD_OPTION_END);
    if (m_daemon == nullptr)
    {
        ::close(m_listen_socket);
        throw std::runtime_error("the HTTP server could not be started");
    }
}

http_server::~http_server()
{
    quiesce();
    std::vector<std::shared_ptr<http_exchange>> open;
    {
        absl::MutexLock lock(&m_mutex);
        open.assign(m_open.begin(), m_open.end());
    }
    // NOTE: the library must not be stopped with a connection suspended.
    for (const auto& exchange : open)
    {
        exchange->finish();
        http_response response;
        response.status = 503;
        exchange->respond(std::move(response));
    }
    MHD_stop_daemon(m_daemon);
    ::close(m_listen_socket);
}

std::uint16_t http_server::port() const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(m_listen_socket, reinterpret_cast<sockaddr*>(&address),
                  &length);
    return ntohs(address.sin_port);
}

void http_server::quiesce()
{
    m_is_closing = true;
    MHD_quiesce_daemon(m_daemon);
    // The backlog would go on to accept while nobody serves it.
    ::shutdown(m_listen_socket, SHUT_RDWR);
}

std::size_t http_server::open_exchanges() const
{
    absl::MutexLock lock(&m_mutex);
    return m_open.size();
}

bool http_server::begin(MHD_Connection* connection, const char* url,
                        const char* method, void** connection_state)
{
    auto exchange = std::make_shared<http_exchange>(connection, m_is_closing);
    auto& request = exchange->m_request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header,
                              &request);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                              &collect_parameter, &request);
    {
        absl::MutexLock lock(&m_mutex);
        m_open.insert(exchange);
    }
    *connection_state = new std::shared_ptr<http_exchange>(exchange);
    std::uint64_t length = 0;
    const bool has_length =
        absl::SimpleAtoi(request.header("content-length"), &length);
    if (has_length && length > m_options.max_body_bytes)
    {
        // Refused before a byte of the body is read.
        exchange->m_is_dispatched = true;
        exchange->respond(too_large_response(m_options.max_body_bytes));
        return exchange->queue_or_suspend();
    }
    return true;
}

// Adds to a body, or drops it if it is too long or there is no memory for it.
// The rest of a dropped body is read and discarded.
void http_server::append_body(http_exchange& exchange, std::string_view data)
{
    if (exchange.m_is_too_large || exchange.m_is_shed)
    {
        return;
    }
    auto& body = exchange.m_request.body;
    const auto size = body.size() + data.size();
    if (size > m_options.max_body_bytes)
    {
        exchange.m_is_too_large = true;
        drop_body(exchange);
        return;
    }
    const auto limit =
        request_memory_limit(m_options.max_total_body_bytes, size);
    const auto held = m_body_bytes += data.size();
    if (held > limit)
    {
        m_body_bytes -= data.size();
        exchange.m_is_shed = true;
        drop_body(exchange);
        return;
    }
    body += data;
}

void http_server::drop_body(http_exchange& exchange)
{
    auto& body = exchange.m_request.body;
    m_body_bytes -= body.size();
    release_memory(body);
}

void http_server::dispatch(const std::shared_ptr<http_exchange>& exchange)
{
    exchange->m_is_dispatched = true;
    if (exchange->m_is_shed)
    {
        exchange->respond(overloaded_response());
        return;
    }
    if (exchange->m_is_too_large)
    {
        exchange->respond(too_large_response(m_options.max_body_bytes));
        return;
    }
    m_on_request(exchange);
}

} // namespace daleshelf
