#include "answered_shapes.hpp"

namespace daleshelf
{

void answered_shapes::note(request_shape shape, const whole_answer& given,
                           absl::Time now)
{
    const auto [place, is_new] = m_answers.try_emplace(shape);
    place->second = {given, now};
    if (!is_new)
    {
        return;
    }
    m_order.push_back(shape);
    if (m_order.size() > m_most)
    {
        m_answers.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<whole_answer> answered_shapes::find(request_shape shape,
                                                  absl::Time after) const
{
    const auto found = m_answers.find(shape);
    const bool is_known = found != m_answers.end() && found->second.at > after;
    return is_known ? std::optional(found->second.given) : std::nullopt;
}

} // namespace daleshelf
