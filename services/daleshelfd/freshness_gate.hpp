/// @file
/// Holds requests back after the process was paused.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/timer_queue.hpp>
#include <functional>
#include <vector>

namespace daleshelf
{

/// A process that was frozen does not know what has left meanwhile. It finds
/// out by its own clock and refreshes what it knows before it dispatches.
class freshness_gate
{
public:
    freshness_gate();

    /// @param refresh starts to read the platform's notices; called on a
    ///        timer's thread. `set_refreshed` follows.
    void set_refresh(std::function<void()> refresh);

    /// What is known of leaving hosts is as new as it can be.
    void set_refreshed();

    /// Runs a function at once, or after the refresh if the process was
    /// paused; after a bounded wait in any case.
    void run(std::function<void()> dispatch);

private:
    void beat();
    bool check_pause(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    absl::Mutex m_mutex;
    std::function<void()> m_refresh ABSL_GUARDED_BY(m_mutex);
    absl::Time m_last_beat ABSL_GUARDED_BY(m_mutex);
    bool m_is_stale ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::function<void()>> m_waiting ABSL_GUARDED_BY(m_mutex);
    timer_queue m_timers;
};

} // namespace daleshelf
