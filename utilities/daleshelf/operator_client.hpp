/// @file
/// Client of the operators' API.
#pragma once

#include <boost/json.hpp>

#include <functional>
#include <http/http_client.hpp>
#include <string>
#include <string_view>

namespace daleshelf
{

/// An answer of the operators' API.
struct operator_answer
{
    int status = 0;
    boost::json::object body;
};

/// Talks to one daemon.
class operator_client
{
public:
    /// @param url of the daemon's operator address
    /// @param token the operators' bearer token
    operator_client(std::string url, std::string token);

    /// @param method HTTP method
    /// @param path path below the daemon's URL
    /// @param body JSON to send, or empty
    /// @return the answer
    /// @throws std::runtime_error if none came
    [[nodiscard]] operator_answer send(const std::string& method,
                                       const std::string& path,
                                       const std::string& body = "");

    /// Reads a stream until it ends.
    /// @param path path below the daemon's URL
    /// @param on_bytes called with each piece
    /// @return the HTTP status
    int follow(const std::string& path,
               std::function<void(std::string_view)> on_bytes);

private:
    http_client_request make_request(const std::string& method,
                                     const std::string& path) const;

    std::string m_url;
    std::string m_token;
    http_client m_client;
};

} // namespace daleshelf
