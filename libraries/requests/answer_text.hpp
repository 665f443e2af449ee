/// @file
/// An answer that is put together by token position.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// The tokens of an answer from position 0 without gaps.
class answer_text
{
public:
    /// Adds the token at `position` if it is the next one. A token that is
    /// known already, or one after a gap, changes nothing.
    /// @return whether it was added
    bool add(token_position position, std::string_view text);

    /// @return the position of the next token
    [[nodiscard]] token_position next() const
    {
        return token_position(static_cast<std::int64_t>(m_ends.size()));
    }

    /// @return the text of all tokens
    [[nodiscard]] const std::string& text() const
    {
        return m_text;
    }

    /// @param position a position before `next()`
    /// @return the text of one token
    [[nodiscard]] std::string_view token(token_position position) const;

    /// @return bytes held
    [[nodiscard]] std::size_t memory() const
    {
        return m_text.capacity() + m_ends.capacity() * sizeof(std::uint32_t);
    }

private:
    std::string m_text;
    std::vector<std::uint32_t> m_ends; ///< where each token's text ends
};

} // namespace daleshelf
