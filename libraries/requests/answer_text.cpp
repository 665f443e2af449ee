#include "answer_text.hpp"

namespace daleshelf
{

bool answer_text::add(token_position position, std::string_view text)
{
    if (position != next())
    {
        return false;
    }
    m_text += text;
    m_token_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
    return true;
}

std::string_view answer_text::token(token_position position) const
{
    const auto index = static_cast<std::size_t>(position.value());
    const std::size_t start = index == 0 ? 0 : m_token_ends.at(index - 1);
    return std::string_view(m_text).substr(start,
                                           m_token_ends.at(index) - start);
}

} // namespace daleshelf
