/// @file
/// One attempt of a request at one upstream.
#pragma once

#include "response_check.hpp"
#include "send_permit.hpp"
#include "upstream_connector.hpp"

#include <base/verdict.hpp>
#include <memory>
#include <platform/request_format.hpp>
#include <string>
#include <string_view>
#include <wire/message_parser.hpp>

namespace daleshelf
{

/// A request as it is sent to an upstream.
struct server_request
{
    server_request(send_permit issued_permit, server_entry target)
        : permit(std::move(issued_permit)), server(std::move(target))
    {
    }

    send_permit permit;
    server_entry server;
    std::string id; ///< as given by the client
    /// Writes the head; called once the upstream is connected, since the head
    /// states the remaining time. Empty: the upstream has restarted since it
    /// was chosen, and nothing is sent.
    std::function<std::string()> serialize_head;
    std::string_view body; ///< outlives the exchange
    bool is_repeatable = false;
    bool has_no_response_body = false; ///< a HEAD request
    monotonic::time_point deadline{};
};

/// Progress of an exchange.
enum class exchange_state
{
    head,            ///< the response head is available
    piece,           ///< a piece of the body is available
    complete,        ///< the response is complete
    failed,          ///< the exchange failed; see `known_verdict`
    deadline_passed, ///< the deadline has passed
};

/// Sends one request to one upstream and reads its response. Responses to other
/// requests, which can arrive late on a reused connection, are skipped. Bytes
/// that are not the upstream's answer fail the exchange.
class server_exchange
{
public:
    server_exchange(upstream_connector& upstreams, server_request request);
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange();

    /// Sends the request and waits for the head of its response.
    awaitable<exchange_state> start();

    /// Waits for the next piece of the body.
    /// @param until when the wait ends with `deadline_passed`
    awaitable<exchange_state> read_piece(monotonic::time_point until);

    /// @return the piece found by `read_piece`
    [[nodiscard]] std::string take_piece()
    {
        return std::exchange(m_piece, {});
    }

    [[nodiscard]] const response_head& head() const
    {
        return m_head;
    }

    /// @return the upstream's notices about itself from all responses received,
    /// including those to other requests
    [[nodiscard]] const platform::server_notice& notice() const
    {
        return m_notice;
    }

    /// @return the permit, to be refunded if nothing was sent
    [[nodiscard]] send_permit take_permit()
    {
        return std::move(m_request.permit);
    }

    /// @return what is known about the request's execution if the exchange
    /// failed
    [[nodiscard]] verdict known_verdict() const
    {
        return m_verdict;
    }

    /// @return why no connection to the upstream was made
    [[nodiscard]] connect_error failure() const
    {
        return m_connect_error;
    }

    /// @return why the response was not accepted, if it was not
    [[nodiscard]] response_fault rejected_response() const
    {
        return m_response_fault;
    }

    /// Resets the connection at once, so that the upstream drops the request.
    void cancel();

    /// Moves the deadline to the present.
    void expire();

    /// @return the upstream that the request is sent to
    [[nodiscard]] const server_entry& server() const
    {
        return m_request.server;
    }

private:
    awaitable<bool> connect();
    awaitable<bool> send();
    awaitable<byte_channel::write_result>
    write_request(std::string head, monotonic::time_point until);
    awaitable<exchange_state> read_head();
    void make_parser();
    bool parse_input();
    void accept_head();
    void take_body();
    void count_skipped(std::size_t body_bytes);
    void merge_notice(const platform::server_notice& notice, bool is_unrelated);
    exchange_state fail();
    exchange_state fail(const parse_error& error);
    void release();

    upstream_connector& m_upstreams;
    server_request m_request;
    std::unique_ptr<server_connection> m_connection;
    std::unique_ptr<response_parser> m_parser;
    response_head m_head;
    platform::server_notice m_notice;
    std::string m_piece;
    connect_error m_connect_error = connect_error::none;
    response_fault m_response_fault = response_fault::none;
    verdict m_verdict = verdict::not_run;
    std::size_t m_body_bytes = 0;    ///< of the response to the request
    std::size_t m_skipped_bytes = 0; ///< of bodies of skipped responses
    int m_skipped_responses = 0;
    bool m_is_framed = false; ///< the body has a length or is chunked
    bool m_is_cancelled = false;
    bool m_is_unrelated = false; ///< the response being read is skipped
};

} // namespace daleshelf
