/// @file
/// A caller that follows its request from host to host.
#pragma once

#include <http/http_client.hpp>
#include <string>
#include <vector>

namespace daleshelf::test
{

/// One request of a caller.
struct caller_request
{
    std::string model = "captions";
    std::string prompt;
    int max_tokens = 16;
    bool is_stream = true;
    bool is_repeatable = true;
    std::string key = "key";
};

/// What the caller has in the end.
struct caller_outcome
{
    bool is_complete = false;
    std::string text;
    std::string request_id;
    std::string error_code;  ///< of a final error
    std::string verdict;     ///< of a final error
    int cut_connections = 0; ///< ended without a proper end
    int moves = 0;           ///< 303 or `moved`
};

/// Sends requests to any of several entry hosts, as through a balancer that
/// knows which of them take connections.
class test_caller
{
public:
    /// @param client sends requests; must outlive this object
    /// @param hosts URLs of entry hosts, the first one preferred
    test_caller(http_client& client, std::vector<std::string> hosts);

    /// Sends a request and follows it until its final answer. Connections
    /// that are cut after the id is known are taken up again by it.
    [[nodiscard]] caller_outcome complete(const caller_request& request);

private:
    /// What one connection brought.
    struct connection_result
    {
        http_response response;
        bool is_whole = false;
        bool is_sent = false;
    };

    connection_result send(const http_client_request& request);
    http_client_request first_request(const caller_request& request) const;
    http_client_request next_request(const caller_request& request,
                                     const caller_outcome& outcome) const;
    static bool take(const connection_result& result, bool is_stream,
                     caller_outcome& outcome);
    static bool take_stream(const std::string& body, caller_outcome& outcome);
    static void take_error(const std::string& body, caller_outcome& outcome);

    http_client& m_client;
    std::vector<std::string> m_hosts;
    std::size_t m_present = 0;
    int m_next_position = 0;
};

/// @return the answer that an engine must give
[[nodiscard]] std::string expected_answer(const std::string& engine_model,
                                          const std::string& prompt,
                                          int max_tokens);

} // namespace daleshelf::test
