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
        weakest_first.emplace_back(m_culprits.back().caused_crashes.size(),
                                   &record);
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
                      { return culprit.fingerprint == record.fingerprint; });
    }
}

// A culprit that crashed no upstream without this request is no better
// explanation than the request itself.
bool crash_cover::explains(const poison_record& record) const
{
    std::set<server_incarnation> explained;
    for (const auto& culprit : m_culprits)
    {
        const bool has_own_crash = std::any_of(
            culprit.caused_crashes.begin(), culprit.caused_crashes.end(),
            [&](const auto& incarnation)
            { return !record.crashes.contains(incarnation); });
        if (culprit.fingerprint == record.fingerprint || !has_own_crash ||
            culprit.response_count > record.responses.size())
        {
            continue;
        }
        explained.insert(culprit.caused_crashes.begin(),
                         culprit.caused_crashes.end());
    }
    return !record.crashes.empty() &&
           std::all_of(record.crashes.begin(), record.crashes.end(),
                       [&](const auto& crash)
                       { return explained.contains(crash.first); });
}

// A request that ran much shorter at one crash than at another was a bystander
// at the former: it had not crashed the other upstream by that age. Requests
// with one prompt part differ in the time after which they crash an upstream.
crash_cover::culprit
crash_cover::make_culprit(const poison_record& record) const
{
    auto longest = absl::ZeroDuration();
    for (const auto& [incarnation, crash] : record.crashes)
    {
        longest = std::max(longest, crash.request_age);
    }
    culprit made{record.fingerprint, record.responses.size(), {}};
    for (const auto& [incarnation, crash] : record.crashes)
    {
        if (record.kind == suspect_kind::prompt_part ||
            crash.request_age * m_age_spread >= longest)
        {
            made.caused_crashes.insert(incarnation);
        }
    }
    return made;
}

} // namespace daleshelf
