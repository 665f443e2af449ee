/// @file
/// An auto-reset event for coroutines.
#pragma once

#include "asio.hpp"

namespace daleshelf
{

/// An auto-reset event, awaited by one coroutine at a time. Any code on the
/// event loop can set it; the wait that observes it resets it.
class async_event
{
public:
    explicit async_event(const asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    /// Sets the event: wakes the waiting coroutine, or lets the next wait
    /// return at once.
    void notify()
    {
        m_is_set = true;
        m_timer.cancel();
    }

    /// @return whether the event was set before the deadline
    awaitable<bool> wait_until(monotonic::time_point deadline)
    {
        if (!m_is_set)
        {
            m_timer.expires_at(deadline);
            co_await m_timer.async_wait(use_result);
        }
        co_return std::exchange(m_is_set, false);
    }

    awaitable<bool> wait_for(monotonic::duration time)
    {
        return wait_until(monotonic::now() + time);
    }

private:
    boot_timer m_timer;
    bool m_is_set = false;
};

} // namespace daleshelf
