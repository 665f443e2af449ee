/// @file
/// The one thread that owns all control state.
#pragma once

#include <absl/time/time.h>

#include <base/mailbox.hpp>
#include <base/timer_queue.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace daleshelf
{

/// Runs functions one after another on a thread of its own.
class control_thread
{
public:
    control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// Stops; what has not run by then never runs.
    ~control_thread();

    /// Runs a function on the thread; may be called from any thread.
    void post(std::function<void()> work);

    /// Runs a function on the thread after a delay.
    void after(absl::Duration delay, std::function<void()> work);

    /// Ends the thread after the function that runs now.
    void stop();

private:
    using work_queue = mailbox<std::function<void()>>;

    void run();

    work_queue m_mailbox;
    timer_queue m_timers; // its functions post to the mailbox
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace daleshelf
