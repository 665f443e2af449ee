#include "freshness_gate.hpp"

#include <absl/time/clock.h>

#include <utility>

namespace daleshelf
{

namespace
{

constexpr absl::Duration beat_interval = absl::Milliseconds(100);
// Longer than any honest delay between two beats.
constexpr absl::Duration pause_threshold = absl::Milliseconds(1000);
// A platform out of reach does not hold requests back for longer.
constexpr absl::Duration longest_wait = absl::Milliseconds(800);

} // namespace

freshness_gate::freshness_gate() : m_last_beat(absl::Now())
{
    beat();
}

void freshness_gate::set_refresh(std::function<void()> refresh)
{
    absl::MutexLock lock(&m_mutex);
    m_refresh = std::move(refresh);
}

/// @return whether a pause has just been found
bool freshness_gate::check_pause(absl::Time now)
{
    const bool was_paused = now - m_last_beat > pause_threshold;
    m_last_beat = now;
    if (!was_paused || m_is_stale)
    {
        return false;
    }
    m_is_stale = true;
    m_timers.after(absl::ZeroDuration(),
                   [this]
                   {
                       std::function<void()> refresh;
                       {
                           absl::MutexLock lock(&m_mutex);
                           refresh = m_refresh;
                       }
                       if (refresh)
                       {
                           refresh();
                       }
                   });
    m_timers.after(longest_wait, [this] { set_refreshed(); });
    return true;
}

void freshness_gate::beat()
{
    {
        absl::MutexLock lock(&m_mutex);
        check_pause(absl::Now());
    }
    m_timers.after(beat_interval, [this] { beat(); });
}

void freshness_gate::set_refreshed()
{
    std::vector<std::function<void()>> ready;
    {
        absl::MutexLock lock(&m_mutex);
        m_is_stale = false;
        ready.swap(m_waiting);
    }
    for (const auto& dispatch : ready)
    {
        dispatch();
    }
}

void freshness_gate::run(std::function<void()> dispatch)
{
    {
        absl::MutexLock lock(&m_mutex);
        // NOTE: a request may come before the first beat after a pause.
        check_pause(absl::Now());
        if (m_is_stale)
        {
            m_waiting.push_back(std::move(dispatch));
            return;
        }
    }
    dispatch();
}

} // namespace daleshelf
