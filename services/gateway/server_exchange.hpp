/// @file
/// One attempt of a request at one server.
#pragma once

#include "send_permit.hpp"
#include "server_connection.hpp"

#include <base/verdict.hpp>
#include <memory>
#include <platform/request_format.hpp>
#include <string>
#include <wire/message_parser.hpp>

namespace daleshelf
{

/// What is sent to a server.
struct server_request
{
    server_request(send_permit issued_permit, server_entry target)
        : permit(std::move(issued_permit)), server(std::move(target))
    {
    }

    send_permit permit;
    server_entry server;
    std::string id;    ///< as the client gave it
    std::string bytes; ///< head and body
    bool is_repeatable = false;
    bool has_no_response_body = false; ///< a HEAD request
    monotonic::time_point deadline{};
};

/// How an exchange has gone so far.
enum class exchange_state
{
    head,      ///< the answer's head is there
    piece,     ///< bytes of its body are there
    complete,  ///< its body has ended in order
    failed,    ///< nothing more comes; `verdict` tells what is known
    timed_out, ///< the deadline has passed
};

/// Sends one request to one server and reads its answer. Answers that belong
/// to other requests are skipped: they may come late on a kept connection.
class server_exchange
{
public:
    server_exchange(connection_pool& pool, server_request request);
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange();

    /// Sends the request and waits for the head of its answer.
    awaitable<exchange_state> start();

    /// Waits for the next piece of the body.
    /// @param until waits no longer than this; `late` is returned then
    awaitable<exchange_state> read_piece(monotonic::time_point until);

    /// @return the piece that `read_piece` has found
    [[nodiscard]] std::string take_piece()
    {
        return std::exchange(m_piece, {});
    }

    [[nodiscard]] const response_head& head() const
    {
        return m_head;
    }

    /// @return what all answers that came have said of the server, also those
    /// to other requests
    [[nodiscard]] const platform::server_notice& notice() const
    {
        return m_notice;
    }

    /// @return the permit, to be returned if nothing was sent
    [[nodiscard]] send_permit take_permit()
    {
        return std::move(m_request.permit);
    }

    /// @return whether the body is sent with a length or in chunks
    [[nodiscard]] bool is_framed() const
    {
        return m_is_framed;
    }

    /// @return what is known of the request's execution if it has failed
    [[nodiscard]] verdict known_verdict() const
    {
        return m_verdict;
    }

    /// Ends the exchange at once; the server drops the request.
    void cancel();

private:
    awaitable<bool> connect();
    awaitable<bool> send();
    awaitable<exchange_state> read_head();
    void make_parser();
    bool parse_input();
    void merge_notice(const platform::server_notice& notice, bool is_unrelated);
    exchange_state fail();
    void release();

    connection_pool& m_pool;
    server_request m_request;
    std::unique_ptr<server_connection> m_connection;
    std::unique_ptr<response_parser> m_parser;
    response_head m_head;
    platform::server_notice m_notice;
    std::string m_piece;
    verdict m_verdict = verdict::not_run;
    bool m_is_framed = false;
    bool m_is_cancelled = false;
    bool m_is_unrelated = false; ///< the answer being read is another request's
};

} // namespace daleshelf
