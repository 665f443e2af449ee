/// @file
/// Where the answer to a generation request goes.
#pragma once

#include <base/identifiers.hpp>
#include <base/request_error.hpp>
#include <requests/request_machine.hpp>

namespace daleshelf
{

/// One caller that waits for an answer. Calls come one at a time, from any
/// thread, and must not block.
class answer_sink
{
public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    virtual ~answer_sink() = default;

    /// The token at `position` is there.
    virtual void on_token(const request_machine& request,
                          token_position position) = 0;

    /// The answer is whole.
    virtual void on_complete(const request_machine& request) = 0;

    /// The request goes on at another host; the caller is to ask there.
    virtual void on_moved(const request_machine& request) = 0;

    /// The request has ended with an error.
    virtual void on_fail(const request_machine& request,
                         const request_error& error) = 0;
};

} // namespace daleshelf
