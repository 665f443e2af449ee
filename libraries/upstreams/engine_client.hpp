/// @file
/// Client of model engines. See docs/STANDINS.md for the protocol.
#pragma once

#include <base/identifiers.hpp>
#include <functional>
#include <http/http_client.hpp>
#include <requests/attempt_result.hpp>
#include <requests/request_description.hpp>
#include <requests/request_machine.hpp>
#include <string>

namespace daleshelf
{

/// One attempt at an engine.
struct engine_call
{
    std::string url; ///< of the engine
    attempt_id attempt;
    request_description description;
    std::string continuation;  ///< the answer so far
    std::string resume_stream; ///< a stream to read on; empty: a new one
    token_position from;       ///< first position wanted
    std::string traceparent;
};

/// What an attempt reports, on the HTTP client's thread.
struct engine_handlers
{
    std::function<void(const std::string& stream_id)> on_stream;
    std::function<void(token_position, const std::string& text)> on_token;
    std::function<void(token_position end, const std::string& reason,
                       const answer_usage&)>
        on_finish;
    std::function<void(const attempt_result&)> on_ended; ///< exactly once
};

/// Runs attempts at engines.
class engine_client
{
public:
    /// @param client sends the requests; must outlive this object
    explicit engine_client(http_client& client);

    /// @param call what to ask
    /// @param handlers what to call
    /// @return a number to cancel it by
    http_client::transfer_id start(const engine_call& call,
                                   engine_handlers handlers);

    /// Stops listening to an attempt; `on_ended` still comes.
    void cancel(http_client::transfer_id id);

    /// Moves what an engine has computed for a stream to another engine.
    /// @param from_url of the engine that runs the stream
    /// @param stream_id the stream
    /// @param to_url of the other engine
    /// @param timeout of either half of the way
    /// @param on_done called with whether the other engine has it
    void move_cache(const std::string& from_url, const std::string& stream_id,
                    const std::string& to_url,
                    std::chrono::milliseconds timeout,
                    std::function<void(bool)> on_done);

    /// Tells an engine that a stream is no longer wanted.
    /// @param url of the engine
    /// @param stream_id the stream
    void cancel_stream(const std::string& url, const std::string& stream_id);

private:
    http_client& m_client;
};

} // namespace daleshelf
