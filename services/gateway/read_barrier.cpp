#include "read_barrier.hpp"

#include <absl/cleanup/cleanup.h>

#include <utility>

namespace daleshelf
{

namespace
{

constexpr milliseconds retry_interval{500};

} // namespace

read_barrier::read_barrier(asio::io_context& context, reader read)
    : m_context(context), m_read(std::move(read))
{
}

awaitable<bool> read_barrier::pass(milliseconds timeout)
{
    const auto now = monotonic::now();
    if (now < m_retry_at)
    {
        co_return false;
    }
    if (!m_next)
    {
        m_next = std::make_shared<round>();
    }
    const auto joined = m_next;
    const auto has_ended =
        std::make_shared<async_event>(m_context.get_executor());
    joined->waiting.push_back(has_ended);
    if (!m_is_running)
    {
        m_is_running = true;
        asio::co_spawn(
            m_context, [this] { return run_rounds(); }, asio::detached);
    }
    co_await has_ended->wait_until(now + timeout);
    co_return joined->has_succeeded;
}

awaitable<void> read_barrier::run_rounds()
{
    const absl::Cleanup finish = [this] { m_is_running = false; };
    while (m_next)
    {
        const auto current = std::exchange(m_next, nullptr);
        current->has_succeeded = co_await m_read();
        if (!current->has_succeeded)
        {
            m_retry_at = monotonic::now() + retry_interval;
        }
        for (const auto& has_ended : current->waiting)
        {
            has_ended->notify();
        }
    }
}

} // namespace daleshelf
