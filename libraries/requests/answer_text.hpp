/// @file
/// An answer assembled by token position.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// The contiguous tokens of an answer, from position 0.
class answer_text
{
public:
    /// Appends the token at `position` if it is the next one. Ignores
    /// duplicates and tokens after a gap.
    /// @return whether the token was appended
    bool add(token_position position, std::string_view text);

    /// @return the position of the next expected token
    [[nodiscard]] token_position next() const
    {
        return token_position(static_cast<std::int64_t>(m_token_ends.size()));
    }

    /// @return the text of all tokens
    [[nodiscard]] const std::string& text() const
    {
        return m_text;
    }

    /// @param position a position before `next()`
    /// @return the text of one token
    [[nodiscard]] std::string_view token(token_position position) const;

    /// @return allocated memory in bytes
    [[nodiscard]] std::size_t memory() const
    {
        return m_text.capacity() +
               m_token_ends.capacity() * sizeof(std::uint32_t);
    }

private:
    std::string m_text;
    std::vector<std::uint32_t> m_token_ends; ///< end offsets in m_text
};

} // namespace daleshelf
