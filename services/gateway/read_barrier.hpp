/// @file
/// Reads of the store that are shared between coroutines.
#pragma once

#include "async_event.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace daleshelf
{

/// Lets coroutines wait for a read of the store that begins after their own
/// call, so that its result covers all that was written before (a read index,
/// as in Raft). Callers that arrive during a read share the next one.
class read_barrier
{
public:
    using reader = std::function<awaitable<bool>()>;

    /// @param context event loop
    /// @param read reads to the end; returns whether it succeeded
    read_barrier(asio::io_context& context, reader read);

    /// Waits for a read that begins after this call. For a while after a
    /// failure, calls return at once.
    /// @param timeout limit of the wait
    /// @return whether the read has succeeded in time
    awaitable<bool> pass(milliseconds timeout);

private:
    /// The callers that share one read.
    struct round
    {
        std::vector<std::shared_ptr<async_event>> waiting;
        bool has_succeeded = false;
    };

    awaitable<void> run_rounds();

    asio::io_context& m_context;
    reader m_read;
    std::shared_ptr<round> m_next; ///< its read has not begun
    bool m_is_running = false;
    monotonic::time_point m_retry_at{};
};

} // namespace daleshelf
