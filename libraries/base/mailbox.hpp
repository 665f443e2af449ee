/// @file
/// A queue from many threads to one.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <utility>

namespace daleshelf
{

/// Unbounded queue of messages that one thread takes out in order.
/// @tparam Message a movable type
template <typename Message>
class mailbox
{
public:
    /// @param message what to hand to the receiving thread
    void post(Message message)
    {
        absl::MutexLock lock(&m_mutex);
        m_messages.push_back(std::move(message));
    }

    /// Waits for a message.
    /// @param timeout how long to wait at most
    /// @return the oldest message, or nothing after the timeout
    std::optional<Message> take(absl::Duration timeout)
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(this, &mailbox::has_messages),
                                 timeout);
        if (m_messages.empty())
        {
            return std::nullopt;
        }
        Message message = std::move(m_messages.front());
        m_messages.pop_front();
        return message;
    }

private:
    bool has_messages() const
    {
        return !m_messages.empty();
    }

    absl::Mutex m_mutex;
    std::deque<Message> m_messages;
};

} // namespace daleshelf
