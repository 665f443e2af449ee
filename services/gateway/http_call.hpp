/// @file
/// HTTP client for the gateway's own calls to the platform and to peers.
#pragma once

#include "byte_channel.hpp"

#include <memory>
#include <optional>
#include <platform/store_calls.hpp>
#include <string>

namespace daleshelf
{

/// The complete response to a call.
struct call_response
{
    int status = 0;
    std::string body;
};

/// Makes calls to one address, one at a time, on one persistent connection.
/// After a call without a response the connection is reset, since a lost
/// response can delay those behind it.
class http_caller
{
public:
    /// Longest response of the store, in bytes: a page of records holds 1 MB.
    static constexpr std::size_t max_page_bytes = 4194304;

    /// @param address IP:PORT
    /// @param max_body_bytes longest body of a response; a longer one fails the
    /// call
    http_caller(asio::io_context& context, std::string address,
                std::size_t max_body_bytes = max_page_bytes);
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// @param timeout limit for the complete response
    /// @param extra_fields serialized header fields
    /// @return the response, or nothing if the call failed or timed out
    awaitable<std::optional<call_response>> call(platform::store_call call,
                                                 milliseconds timeout,
                                                 std::string extra_fields = "");

    /// Aborts the call in progress.
    void interrupt();

private:
    awaitable<bool> connect(monotonic::time_point deadline);
    awaitable<std::optional<call_response>>
    read(monotonic::time_point deadline);

    asio::io_context& m_context;
    std::string m_address;
    std::size_t m_max_body_bytes;
    std::shared_ptr<byte_channel> m_channel;
};

} // namespace daleshelf
