#include "answered_shapes.hpp"

namespace daleshelf
{

void answered_shapes::add(request_shape shape,
                          const completed_response& response, absl::Time now)
{
    const auto [place, is_new] = m_responses.try_emplace(shape);
    place->second = {response, now};
    if (!is_new)
    {
        return;
    }
    m_order.push_back(shape);
    if (m_order.size() > m_limit)
    {
        m_responses.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<completed_response> answered_shapes::find(request_shape shape,
                                                        absl::Time after) const
{
    const auto found = m_responses.find(shape);
    const bool is_known =
        found != m_responses.end() && found->second.at > after;
    return is_known ? std::optional(found->second.response) : std::nullopt;
}

} // namespace daleshelf
