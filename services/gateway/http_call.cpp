#include "http_call.hpp"

#include "server_connection.hpp"

#include <base/http_status.hpp>
#include <memory>
#include <wire/message_parser.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{

namespace
{

constexpr std::uint32_t max_head_bytes = 16384;
constexpr milliseconds connect_timeout{1000};
// Informational responses before the awaited one.
constexpr int max_informational = 8;

} // namespace

http_caller::http_caller(asio::io_context& context, std::string address,
                         std::size_t max_body_bytes)
    : m_context(context)
    , m_address(std::move(address))
    , m_max_body_bytes(max_body_bytes)
{
}

http_caller::~http_caller()
{
    interrupt();
}

awaitable<std::optional<call_response>>
http_caller::call(platform::store_call call, milliseconds timeout,
                  std::string extra_fields)
{
    const auto deadline = monotonic::now() + timeout;
    const bool is_usable = m_channel != nullptr && m_channel->is_idle();
    if (!is_usable)
    {
        const bool is_connected = co_await connect(deadline);
        if (!is_connected)
        {
            co_return std::nullopt;
        }
    }
    std::string bytes;
    request_head head;
    head.method = call.method;
    head.target = call.target;
    write_start_line(bytes, head);
    write_field(bytes, "Host", m_address);
    if (!call.content_type.empty())
    {
        write_field(bytes, "Content-Type", call.content_type);
    }
    if (call.method != "GET")
    {
        write_field(bytes, "Content-Length", std::to_string(call.body.size()));
    }
    bytes += extra_fields;
    write_head_end(bytes);
    bytes += call.body;
    const auto channel = m_channel;
    const auto sent = co_await channel->write(bytes);
    if (!sent.is_complete)
    {
        interrupt();
        co_return std::nullopt;
    }
    auto response = co_await read(deadline);
    if (!response)
    {
        interrupt();
    }
    co_return response;
}

void http_caller::interrupt()
{
    if (m_channel)
    {
        m_channel->reset();
        m_channel.reset();
    }
}

awaitable<bool> http_caller::connect(monotonic::time_point deadline)
{
    interrupt();
    const auto endpoint = parse_endpoint(m_address);
    if (!endpoint)
    {
        co_return false;
    }
    const auto result = co_await connect_channel(
        m_context, *endpoint,
        std::min(deadline, monotonic::now() + connect_timeout));
    m_channel = result.channel;
    co_return m_channel != nullptr;
}

awaitable<std::optional<call_response>>
http_caller::read(monotonic::time_point deadline)
{
    const auto channel = m_channel;
    auto parser = std::make_unique<response_parser>(max_head_bytes);
    int informational = 0;
    call_response response;
    try
    {
        while (true)
        {
            channel->consume(parser->feed(channel->input()));
            response.body += parser->take_body();
            // Input that never ends would defer the deadline, which otherwise
            // ends only a wait.
            if (response.body.size() > m_max_body_bytes ||
                monotonic::now() >= deadline)
            {
                co_return std::nullopt;
            }
            if (parser->is_complete())
            {
                const auto head = parser->take_head();
                if (head.status < http_status::ok &&
                    ++informational <= max_informational)
                {
                    parser = std::make_unique<response_parser>(max_head_bytes);
                    continue;
                }
                response.status = head.status;
                if (!keeps_connection(head.fields, head.version))
                {
                    interrupt();
                }
                co_return response;
            }
            if (channel->connection_state() != channel_state::open)
            {
                co_return std::nullopt;
            }
            const bool has_input = co_await channel->wait_input(deadline);
            if (!has_input)
            {
                co_return std::nullopt;
            }
        }
    }
    catch (const parse_error&)
    {
        co_return std::nullopt;
    }
}

} // namespace daleshelf
