#include "control_thread.hpp"

#include <utility>

namespace daleshelf
{

namespace
{

constexpr absl::Duration idle_interval = absl::Seconds(1);

} // namespace

control_thread::control_thread() : m_thread([this] { run(); }) {}

control_thread::~control_thread()
{
    stop();
}

void control_thread::stop()
{
    if (!m_thread.joinable())
    {
        return;
    }
    post([this] { m_is_stopping = true; });
    m_thread.join();
}

void control_thread::post(std::function<void()> work)
{
    m_mailbox.post(std::move(work));
}

void control_thread::after(absl::Duration delay, std::function<void()> work)
{
    m_timers.after(delay, [this, work = std::move(work)] { post(work); });
}

void control_thread::run()
{
    while (!m_is_stopping)
    {
        const auto work = m_mailbox.take(idle_interval);
        if (work)
        {
            (*work)();
        }
    }
}

} // namespace daleshelf
