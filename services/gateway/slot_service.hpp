/// @file
/// Slots of upstreams that crash when they reject many requests.
#pragma once

#include "asio.hpp"
#include "async_event.hpp"
#include "slot_hold.hpp"

#include <absl/time/time.h>

#include <functional>
#include <ingress/server_directory.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <upstream_limits/rejection_limits.hpp>
#include <upstream_limits/shared_slots.hpp>
#include <vector>

namespace daleshelf
{

/// Keeps the requests of all hosts at a brittle upstream within its slots:
/// before one is sent, a keeper grants a slot. Exchanges the messages of a
/// `shared_slots`. Runs on the gateway's event loop. See
/// docs/design/brittle-upstreams.md.
class slot_service
{
public:
    using sender =
        std::function<void(const host_id& to, const std::string& bytes)>;

    /// @param servers the listed upstreams; must outlive this object
    slot_service(asio::io_context& context, const server_directory& servers,
                 shared_slots slots);
    slot_service(const slot_service&) = delete;
    slot_service& operator=(const slot_service&) = delete;
    ~slot_service() = default;

    /// Sets the function that sends datagrams; without one, none are sent.
    void set_sender(sender send)
    {
        m_send = std::move(send);
    }

    /// @return the limits that upstreams advertise
    [[nodiscard]] rejection_limits& limits()
    {
        return m_limits;
    }

    /// @param time_of_day time of day that the fleet agrees on
    /// @return whether requests to the upstream need a slot
    [[nodiscard]] bool needs_slot(const server_entry& server,
                                  absl::Time time_of_day) const;

    /// Takes a slot of an upstream that needs one.
    /// @return whether the request may be sent; `hold` must be called at once
    awaitable<bool> acquire(server_entry server);

    /// Counts a request that is sent to the upstream, brittle or not.
    [[nodiscard]] slot_hold hold(const upstream_id& server);

    /// Counts a rejection by a brittle upstream.
    void record_rejection(const upstream_id& server);

    /// Applies changed limits: their upstreams' requests are reported to
    /// keepers.
    void apply_limits();

    /// @return whether the other hosts must be known
    [[nodiscard]] bool needs_peers() const
    {
        return m_slots.tracks_any() || is_starting();
    }

    /// Sends all due messages; to be called several times a second.
    /// @param peers the other known hosts, if they must be known
    void tick(std::vector<slot_host> peers);

    /// Handles a datagram of a peer.
    /// @return the encoded reply to the sender; empty: none
    [[nodiscard]] std::string receive(std::string_view bytes);

private:
    friend class slot_hold;

    [[nodiscard]] static absl::Time now();
    [[nodiscard]] bool is_starting() const;
    void release(const upstream_id& server);
    void report_changes();
    void send(const std::vector<addressed_slot_message>& messages) const;

    asio::io_context& m_context;
    /// This object, for holds that outlive it.
    std::shared_ptr<slot_service*> m_self =
        std::make_shared<slot_service*>(this);
    const server_directory& m_servers;
    rejection_limits m_limits;
    shared_slots m_slots;
    sender m_send;
    absl::Time m_started_at;
    bool m_is_report_due = false;
    /// Requests that wait for a keeper's reply, by sequence.
    std::map<std::int64_t, std::shared_ptr<async_event>> m_pending;
};

} // namespace daleshelf
