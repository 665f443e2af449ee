/// @file
/// One request in flight at an upstream.
#pragma once

#include <base/identifiers.hpp>
#include <utility>

namespace daleshelf
{

class slot_service;

/// Counts a request at its upstream for as long as it exists. Issued only by
/// `slot_service`.
class slot_hold
{
public:
    slot_hold(const slot_hold&) = delete;
    slot_hold& operator=(const slot_hold&) = delete;
    slot_hold(slot_hold&& other) noexcept
        : m_slots(std::exchange(other.m_slots, nullptr))
        , m_server(std::move(other.m_server))
    {
    }
    slot_hold& operator=(slot_hold&& other) noexcept;
    ~slot_hold();

private:
    friend class slot_service;

    slot_hold(slot_service& slots, upstream_id server)
        : m_slots(&slots), m_server(std::move(server))
    {
    }

    void release();

    slot_service* m_slots;
    upstream_id m_server;
};

} // namespace daleshelf
