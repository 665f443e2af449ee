/// @file
/// Obtains quota from the hosts that hold it.
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

/// Whether a request is within a quota, and why.
struct quota_verdict
{
    bool is_within = false;
    std::string explanation; ///< for logs
};

/// Exchanges the messages of a `shared_quota`: a request waits for the
/// responses of the keepers (hosts that hold parts of a quota) that it asks,
/// for a bounded time each. Runs on the gateway's event loop.
class quota_service
{
public:
    using sender =
        std::function<void(const host_id& to, const std::string& bytes)>;

    quota_service(asio::io_context& context, shared_quota quota);

    /// Sets the function that sends datagrams; without one, none are sent.
    void set_sender(sender send)
    {
        m_send = std::move(send);
    }

    /// @return the protocol state, free of I/O
    [[nodiscard]] shared_quota& shared()
    {
        return m_quota;
    }

    [[nodiscard]] const shared_quota& shared() const
    {
        return m_quota;
    }

    /// Takes the cost of a request out of a quota, from as many keepers as
    /// needed.
    /// @param subject the workspace or upstream that the quota applies to
    /// @param cost in the unit of the subject
    /// @return whether the whole cost was granted, and why
    awaitable<quota_verdict> take(quota_subject subject, double cost);

    /// Sends all due messages; to be called several times a second.
    void tick();

    /// Handles a message of a peer.
    /// @return the encoded response to the sender; empty: none
    [[nodiscard]] std::string receive(const quota_message& message);

private:
    [[nodiscard]] static absl::Time now();
    [[nodiscard]] std::string describe(const quota_claim& claim) const;
    void send(const addressed_quota_message& message) const;
    void log_rejections();

    asio::io_context& m_context;
    shared_quota m_quota;
    sender m_send;
    /// Requests that wait for a keeper's response, by sequence number.
    std::map<std::int64_t, std::shared_ptr<async_event>> m_pending_requests;
    std::map<workspace_id, double> m_logged_rejections;
};

} // namespace daleshelf
