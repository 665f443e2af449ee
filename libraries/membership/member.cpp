#include "member.hpp"

#include <array>
#include <tuple>

namespace daleshelf
{

std::string to_string(member_state state)
{
    static constexpr std::array<const char*, 4> names{"alive", "suspect",
                                                      "dead", "left"};
    return names.at(static_cast<std::size_t>(state));
}

bool member::overrides(const member& other) const
{
    // The state `left` is final for an incarnation, so it ranks above any
    // refutation.
    const auto rank = [](const member& item)
    {
        const bool has_left = item.state == member_state::left;
        return std::tuple(item.started, has_left, item.refutation, item.state);
    };
    return rank(*this) > rank(other);
}

} // namespace daleshelf
