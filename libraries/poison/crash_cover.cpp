#include "crash_cover.hpp"

#include <algorithm>
#include <utility>

namespace daleshelf
{

void crash_cover::set_confirmed(const std::vector<poison_record>& confirmed)
{
    using ranked_record = std::pair<std::size_t, const poison_record*>;
    m_culprits.clear();
    std::vector<ranked_record> weakest_first;
    for (const auto& record : confirmed)
    {
        m_culprits.push_back(make_culprit(record));
        weakest_first.emplace_back(m_culprits.back().crashes.size(), &record);
    }
    std::stable_sort(weakest_first.begin(), weakest_first.end(),
                     [](const auto& left, const auto& right)
                     { return left.first < right.first; });
    for (const auto& ranked : weakest_first)
    {
        const auto& record = *ranked.second;
        if (!explains(record))
        {
            continue;
        }
        std::erase_if(m_culprits, [&](const auto& culprit)
                      { return culprit.print == record.print; });
    }
}

// A culprit that crashed no upstream without this request is no better
// explanation than the request itself.
bool crash_cover::explains(const poison_record& record) const
{
    std::set<server_life> explained;
    for (const auto& culprit : m_culprits)
    {
        const bool has_own_crash = std::any_of(
            culprit.crashes.begin(), culprit.crashes.end(),
            [&](const auto& life) { return !record.ends.contains(life); });
        if (culprit.print == record.print || !has_own_crash ||
            culprit.responses > record.whole.size())
        {
            continue;
        }
        explained.insert(culprit.crashes.begin(), culprit.crashes.end());
    }
    return !record.ends.empty() &&
           std::all_of(record.ends.begin(), record.ends.end(),
                       [&](const auto& end)
                       { return explained.contains(end.first); });
}

// A request that ran much shorter at one crash than at another was a bystander
// at the former: it had not crashed the other upstream by that age.
crash_cover::culprit
crash_cover::make_culprit(const poison_record& record) const
{
    auto longest = absl::ZeroDuration();
    for (const auto& [life, end] : record.ends)
    {
        longest = std::max(longest, end.ran);
    }
    culprit made{record.print, record.whole.size(), {}};
    for (const auto& [life, end] : record.ends)
    {
        if (end.ran * m_age_spread >= longest)
        {
            made.crashes.insert(life);
        }
    }
    return made;
}

} // namespace daleshelf
