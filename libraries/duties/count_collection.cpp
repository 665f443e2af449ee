#include "count_collection.hpp"

#include <algorithm>

namespace daleshelf
{

void count_collection::begin(std::int64_t window)
{
    if (window == m_window)
    {
        return;
    }
    m_window = window;
    m_told.clear();
    m_asked_at.clear();
}

std::vector<host_id>
count_collection::to_ask(const std::vector<host_id>& machines, absl::Time now)
{
    // Those that were never asked come first: however many are dead, each
    // machine gets its turn.
    std::vector<std::pair<absl::Time, host_id>> due;
    for (const auto& machine : machines)
    {
        const auto asked = m_asked_at.find(machine);
        const auto asked_at =
            asked == m_asked_at.end() ? absl::InfinitePast() : asked->second;
        if (!m_told.contains(machine) && now - asked_at >= m_options.ask_again)
        {
            due.emplace_back(asked_at, machine);
        }
    }
    const auto size = std::min(due.size(), m_options.most_at_once);
    const auto end = due.begin() + static_cast<std::ptrdiff_t>(size);
    std::partial_sort(due.begin(), end, due.end());
    std::vector<host_id> asked;
    for (auto next = due.begin(); next != end; ++next)
    {
        m_asked_at[next->second] = now;
        asked.push_back(next->second);
    }
    return asked;
}

void count_collection::note_told(std::int64_t window, const host_id& machine)
{
    if (window == m_window)
    {
        m_told.insert(machine);
    }
}

bool count_collection::is_complete(const std::vector<host_id>& machines) const
{
    return std::all_of(machines.begin(), machines.end(),
                       [this](const host_id& machine)
                       { return m_told.contains(machine); });
}

} // namespace daleshelf
