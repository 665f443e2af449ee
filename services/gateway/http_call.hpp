/// @file
/// Calls of the gateway itself, to the platform and to peers.
#pragma once

#include "byte_channel.hpp"

#include <memory>
#include <optional>
#include <platform/store_calls.hpp>
#include <string>

namespace daleshelf
{

/// A whole answer to a call.
struct call_response
{
    int status = 0;
    std::string body;
};

/// Makes calls to one address, one at a time, on one kept connection. After a
/// call without an answer the connection is given up, since an answer that
/// was lost may hold up those behind it.
class http_caller
{
public:
    /// @param address IP:PORT
    http_caller(asio::io_context& context, std::string address);
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// @param extra header fields, as bytes
    /// @param time longest wait for the whole answer
    /// @return the answer, or nothing
    awaitable<std::optional<call_response>> call(platform::store_call call,
                                                 milliseconds timeout,
                                                 std::string extra_fields = "");

    /// Gives up the call under way.
    void interrupt();

private:
    awaitable<bool> connect(monotonic::time_point deadline);
    awaitable<std::optional<call_response>>
    read(monotonic::time_point deadline);

    asio::io_context& m_context;
    std::string m_address;
    std::shared_ptr<byte_channel> m_channel;
};

} // namespace daleshelf
