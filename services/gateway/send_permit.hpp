/// @file
/// Permit to send one request to one upstream.
#pragma once

#include "slot_hold.hpp"

#include <base/identifiers.hpp>
#include <utility>

namespace daleshelf
{

/// Issued only by `upstream_limiter` and required to start an exchange, so that
/// every request is counted against the upstream's limits. Its destruction ends
/// the count of the request as one in flight.
class send_permit
{
public:
    send_permit(const send_permit&) = delete;
    send_permit& operator=(const send_permit&) = delete;
    send_permit(send_permit&&) noexcept = default;
    send_permit& operator=(send_permit&&) noexcept = default;
    ~send_permit() = default;

private:
    friend class upstream_limiter;

    send_permit(upstream_id counted, slot_hold slot)
        : m_counted(std::move(counted)), m_slot(std::move(slot))
    {
    }

    upstream_id m_counted; ///< empty if the upstream has no rate limit
    slot_hold m_slot;
};

} // namespace daleshelf
