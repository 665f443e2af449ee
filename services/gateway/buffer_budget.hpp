/// @file
/// Bounds the memory of responses that cannot be forwarded yet.
#pragma once

#include <cstddef>

namespace daleshelf
{

/// The bytes that all exchanges of the process hold back together.
class buffer_budget
{
public:
    /// @return how many bytes one exchange may hold back; fewer once all of
    /// them hold much
    [[nodiscard]] std::size_t allowance() const
    {
        return m_held > max_total ? min_allowance : max_allowance;
    }

    [[nodiscard]] std::size_t held() const
    {
        return m_held;
    }

private:
    friend class buffer_share;

    static constexpr std::size_t max_total = 16777216;
    static constexpr std::size_t max_allowance = 262144;
    // Usual events are shorter; longer bodies are streamed.
    static constexpr std::size_t min_allowance = 16384;

    std::size_t m_held = 0;
};

} // namespace daleshelf
