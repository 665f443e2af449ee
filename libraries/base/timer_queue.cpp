#include "timer_queue.hpp"

namespace daleshelf
{

timer_queue::timer_queue() : m_thread([this] { run(); }) {}

timer_queue::~timer_queue()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_is_stopping = true;
        m_changed.Signal();
    }
    m_thread.join();
}

timer_queue::timer_id timer_queue::after(absl::Duration delay,
                                         std::function<void()> action)
{
    absl::MutexLock lock(&m_mutex);
    const auto id = ++m_last_id;
    const auto time = absl::Now() + delay;
    m_timers.emplace(key{time, id}, std::move(action));
    m_times.emplace(id, time);
    m_changed.Signal();
    return id;
}

void timer_queue::cancel(timer_id id)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_times.find(id);
    if (found == m_times.end())
    {
        return;
    }
    m_timers.erase(key{found->second, id});
    m_times.erase(found);
}

void timer_queue::run()
{
    m_mutex.Lock();
    while (!m_is_stopping)
    {
        if (m_timers.empty())
        {
            m_changed.Wait(&m_mutex);
            continue;
        }
        const auto first = m_timers.begin();
        const auto due = first->first.first;
        if (absl::Now() < due)
        {
            m_changed.WaitWithDeadline(&m_mutex, due);
            continue;
        }
        const auto action = std::move(first->second);
        m_times.erase(first->first.second);
        m_timers.erase(first);
        m_mutex.Unlock();
        action();
        m_mutex.Lock();
    }
    m_mutex.Unlock();
}

} // namespace daleshelf
