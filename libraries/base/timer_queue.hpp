/// @file
/// Runs functions at given times on one thread.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <thread>
#include <utility>

namespace daleshelf
{

/// Timers on one thread; the functions must be short.
class timer_queue
{
public:
    using timer_id = std::uint64_t;

    timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// Drops what is not due yet.
    ~timer_queue();

    /// @param delay time from now
    /// @param action what to run then
    /// @return a number to cancel it by
    timer_id after(absl::Duration delay, std::function<void()> action);

    /// @param id a timer; one that has run or is running is left alone
    void cancel(timer_id id);

private:
    using key = std::pair<absl::Time, timer_id>;

    void run();

    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::map<key, std::function<void()>> m_timers ABSL_GUARDED_BY(m_mutex);
    std::map<timer_id, absl::Time> m_times ABSL_GUARDED_BY(m_mutex);
    timer_id m_last_id ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace daleshelf
