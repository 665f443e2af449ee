/// @file
/// One request in flight at an upstream.
#pragma once

#include <base/identifiers.hpp>
#include <memory>

namespace daleshelf
{

class slot_service;

/// Counts a request at its upstream for as long as it exists. Issued only by
/// `slot_service`, which it may outlive: at the end of the process the requests
/// in flight are destroyed last.
class slot_hold
{
public:
    slot_hold(const slot_hold&) = delete;
    slot_hold& operator=(const slot_hold&) = delete;
    slot_hold(slot_hold&& other) noexcept = default;
    slot_hold& operator=(slot_hold&& other) noexcept;
    ~slot_hold();

private:
    friend class slot_service;

    slot_hold(std::weak_ptr<slot_service*> slots, upstream_id server)
        : m_slots(std::move(slots)), m_server(std::move(server))
    {
    }

    void release();

    std::weak_ptr<slot_service*> m_slots; ///< empty once moved from
    upstream_id m_server;
};

} // namespace daleshelf
