/// @file
/// The part of one exchange in what all of them hold back.
#pragma once

#include "buffer_budget.hpp"

namespace daleshelf
{

/// The bytes that one exchange holds back.
class buffer_share
{
public:
    explicit buffer_share(buffer_budget& budget) : m_budget(budget) {}

    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    ~buffer_share()
    {
        set(0);
    }

    /// Replaces the number of bytes that are held back.
    void set(std::size_t bytes)
    {
        m_budget.m_held = m_budget.m_held - m_bytes + bytes;
        m_bytes = bytes;
    }

private:
    buffer_budget& m_budget;
    std::size_t m_bytes = 0;
};

} // namespace daleshelf
