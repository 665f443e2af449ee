#include "slot_demand.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// A burst of three seconds shows within one, and the requests of a few hundred
// milliseconds, which arrive in groups, are averaged.
constexpr absl::Duration time_constant = absl::Milliseconds(1500);
// 64 entries of 20 bytes are a third of a datagram; smaller ones add little.
constexpr std::size_t max_reported = 64;
// Demand that has decayed below it is forgotten.
constexpr double min_slots = 0.01;
// Bounds the memory if nobody reads the rates.
constexpr std::size_t max_rates = 1024;
constexpr int max_rank = 9;
// Generation of 55 events 600 ms apart takes 33 s, and a prefill of 1.2 s takes
// 77 s of 64 slots. Clients state their tokens: without a limit, one urgent
// request with a false count would use up the capacity of less urgent ranks.
constexpr absl::Duration max_slot_time = absl::Minutes(2);

double decay_over(absl::Duration time)
{
    return std::exp(-std::max(0.0, absl::FDivDuration(time, time_constant)));
}

} // namespace

void slot_demand::add(const workspace_demand& request, absl::Duration slot_time,
                      absl::Time now)
{
    if (slot_time <= absl::ZeroDuration())
    {
        return;
    }
    auto& rate = rate_of(request, now);
    if (rate.slots > 0)
    {
        rate.slots *= decay_over(now - rate.updated_at);
    }
    rate.slots +=
        absl::FDivDuration(std::min(slot_time, max_slot_time), time_constant);
    rate.updated_at = now;
}

slot_demand::decayed_rate& slot_demand::rate_of(const workspace_demand& request,
                                                absl::Time now)
{
    const demand_key key{request.service, request.workspace,
                         std::clamp(request.rank, 0, max_rank)};
    if (m_rates.size() >= max_rates && m_rates.count(key) == 0)
    {
        evict_smallest(now);
    }
    return m_rates[key];
}

void slot_demand::evict_smallest(absl::Time now)
{
    const auto slots_of = [now](const auto& entry)
    { return entry.second.slots * decay_over(now - entry.second.updated_at); };
    const auto smallest =
        std::min_element(m_rates.begin(), m_rates.end(),
                         [&](const auto& left, const auto& right)
                         { return slots_of(left) < slots_of(right); });
    m_rates.erase(smallest);
}

std::vector<workspace_demand> slot_demand::rates(absl::Time now)
{
    std::vector<workspace_demand> demand;
    for (auto entry = m_rates.begin(); entry != m_rates.end();)
    {
        const auto& [key, rate] = *entry;
        const auto slots = rate.slots * decay_over(now - rate.updated_at);
        if (slots < min_slots)
        {
            entry = m_rates.erase(entry);
            continue;
        }
        demand.push_back({key.service, key.workspace, key.rank, slots});
        ++entry;
    }
    std::sort(demand.begin(), demand.end(),
              [](const auto& left, const auto& right)
              { return left.slots > right.slots; });
    demand.resize(std::min(demand.size(), max_reported));
    return demand;
}

} // namespace daleshelf
