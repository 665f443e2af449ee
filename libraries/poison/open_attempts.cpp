#include "open_attempts.hpp"

#include <algorithm>

namespace daleshelf
{

void open_attempts::note(const server_life& life, open_attempt attempt)
{
    forget_old(attempt.ended);
    if (m_entries.size() >= m_most)
    {
        m_entries.pop_front();
    }
    m_entries.push_back({life, std::move(attempt)});
}

bool open_attempts::has(const server_life& life, absl::Time now)
{
    forget_old(now);
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto& entry) { return entry.life == life; });
}

std::vector<open_attempt> open_attempts::take(const server_life& life,
                                              absl::Time now)
{
    forget_old(now);
    std::vector<open_attempt> taken;
    std::erase_if(m_entries,
                  [&](auto& entry)
                  {
                      const bool was_there = entry.life == life;
                      if (was_there)
                      {
                          taken.push_back(std::move(entry.attempt));
                      }
                      return was_there;
                  });
    return taken;
}

void open_attempts::forget_old(absl::Time now)
{
    while (!m_entries.empty() && now - m_entries.front().attempt.ended > m_time)
    {
        m_entries.pop_front();
    }
}

} // namespace daleshelf
