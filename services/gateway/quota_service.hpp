/// @file
/// Taking quotas from the keepers of the fleet.
#pragma once

#include "async_event.hpp"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <quotas/shared_quota.hpp>
#include <string>

namespace daleshelf
{

/// Whether a request is within a quota, and how that was found.
struct quota_verdict
{
    bool is_within = false;
    std::string how; ///< for logs
};

/// Carries the messages of a `shared_quota`: a request waits for the answers
/// of the keepers that it asks, each for a bounded time. Runs on the
/// gateway's event loop.
class quota_service
{
public:
    using sender =
        std::function<void(const host_id& to, const std::string& bytes)>;

    quota_service(asio::io_context& context, shared_quota quota);

    /// Sets how datagrams leave; until then none do.
    void set_sender(sender send)
    {
        m_send = std::move(send);
    }

    /// @return the decisions behind the messages
    [[nodiscard]] shared_quota& shared()
    {
        return m_quota;
    }

    [[nodiscard]] const shared_quota& shared() const
    {
        return m_quota;
    }

    /// Takes a request's cost, from as many keepers as are needed.
    /// @param cost in the subject's unit
    awaitable<quota_verdict> take(quota_subject subject, double cost);

    /// Sends what is due; to be called several times a second.
    void tick();

    /// @return the bytes of an answer to the sender, or none
    [[nodiscard]] std::string receive(const quota_message& message);

private:
    [[nodiscard]] static absl::Time now();
    [[nodiscard]] std::string describe(const quota_claim& claim) const;
    void send(const addressed_quota_message& message) const;
    void log_pools();

    asio::io_context& m_context;
    shared_quota m_quota;
    sender m_send;
    /// Requests that wait for an answer, by the sequence of the ask.
    std::map<std::int64_t, std::shared_ptr<async_event>> m_waiting;
    std::map<workspace_id, double> m_logged_refused;
};

} // namespace daleshelf
