#include "unanswered_attempts.hpp"

#include <algorithm>

namespace daleshelf
{

void unanswered_attempts::add(const server_incarnation& incarnation,
                              unanswered_attempt attempt)
{
    expire_old(attempt.ended);
    if (m_entries.size() >= m_limit)
    {
        m_entries.pop_front();
    }
    m_entries.push_back({incarnation, std::move(attempt)});
}

bool unanswered_attempts::has(const server_incarnation& incarnation,
                              absl::Time now)
{
    expire_old(now);
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto& entry)
                       { return entry.incarnation == incarnation; });
}

std::vector<unanswered_attempt>
unanswered_attempts::take(const server_incarnation& incarnation, absl::Time now)
{
    expire_old(now);
    std::vector<unanswered_attempt> taken;
    std::erase_if(m_entries,
                  [&](auto& entry)
                  {
                      const bool was_there = entry.incarnation == incarnation;
                      if (was_there)
                      {
                          taken.push_back(std::move(entry.attempt));
                      }
                      return was_there;
                  });
    return taken;
}

void unanswered_attempts::expire_old(absl::Time now)
{
    while (!m_entries.empty() &&
           now - m_entries.front().attempt.ended > m_retention)
    {
        m_entries.pop_front();
    }
}

} // namespace daleshelf
