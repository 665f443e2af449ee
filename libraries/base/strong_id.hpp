/// @file
/// A string identifier that cannot be mixed up with one of another kind.
#pragma once

#include <ostream>
#include <string>
#include <utility>

namespace daleshelf
{

/// Identifier of one kind of thing.
/// @tparam Tag an empty type that names the kind
template <typename Tag>
class strong_id
{
public:
    strong_id() = default;

    /// @param value the identifier's text
    explicit strong_id(std::string value) : m_value(std::move(value)) {}

    /// @return the identifier's text
    [[nodiscard]] const std::string& value() const
    {
        return m_value;
    }

    /// @return whether no identifier is held
    [[nodiscard]] bool empty() const
    {
        return m_value.empty();
    }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const strong_id& id) // NOLINT
    {
        return Hash::combine(std::move(state), id.m_value);
    }

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

} // namespace daleshelf
