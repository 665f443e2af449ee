/// @file
/// Callers over HTTP, as sinks of an answer.
#pragma once

#include "answer_sink.hpp"

#include <http/forward.hpp>
#include <memory>

namespace daleshelf
{

/// Sends every token as an event once it is there.
class stream_sink : public answer_sink
{
public:
    /// @param exchange the caller
    /// @param from first position that the caller wants
    stream_sink(std::shared_ptr<http_exchange> exchange, token_position from);

    void on_token(const request_machine& request,
                  token_position position) override;
    void on_complete(const request_machine& request) override;
    void on_moved(const request_machine& request) override;
    void on_fail(const request_machine& request,
                 const request_error& error) override;

private:
    void start(const request_machine& request);

    std::shared_ptr<http_exchange> m_exchange;
    token_position m_from;
    bool m_is_started = false;
};

/// Sends the answer when it is whole.
class whole_sink : public answer_sink
{
public:
    /// @param exchange the caller
    explicit whole_sink(std::shared_ptr<http_exchange> exchange);

    void on_token(const request_machine& request,
                  token_position position) override;
    void on_complete(const request_machine& request) override;
    void on_moved(const request_machine& request) override;
    void on_fail(const request_machine& request,
                 const request_error& error) override;

private:
    std::shared_ptr<http_exchange> m_exchange;
};

} // namespace daleshelf
