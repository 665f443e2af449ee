/// @file
/// A whole number that cannot be mixed up with one of another unit.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <utility>

namespace daleshelf
{

/// Count or position in one unit.
/// @tparam Tag an empty type that names the unit
template <typename Tag>
class strong_number
{
public:
    strong_number() = default;

    /// @param value the number in the unit of `Tag`
    explicit constexpr strong_number(std::int64_t value) : m_value(value) {}

    /// @return the number in the unit of `Tag`
    [[nodiscard]] constexpr std::int64_t value() const
    {
        return m_value;
    }

    /// @return the number after this one
    [[nodiscard]] constexpr strong_number next() const
    {
        return strong_number(m_value + 1);
    }

    friend auto operator<=>(const strong_number&,
                            const strong_number&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const strong_number& number) // NOLINT
    {
        return Hash::combine(std::move(state), number.m_value);
    }

    friend std::ostream& operator<<(std::ostream& out,
                                    const strong_number& number)
    {
        return out << number.m_value;
    }

private:
    std::int64_t m_value = 0;
};

} // namespace daleshelf
