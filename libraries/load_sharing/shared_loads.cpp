#include "shared_loads.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace daleshelf
{

namespace
{

// Finds entries by their key in constant time: an aggregator adds the reports
// of up to 247 hosts every 250 ms.
class demand_index
{
public:
    explicit demand_index(std::vector<workspace_demand>& demand)
        : m_demand(demand)
    {
        for (std::size_t position = 0; position < demand.size(); ++position)
        {
            m_positions.try_emplace(key_of(demand[position]), position);
        }
    }

    [[nodiscard]] workspace_demand* find(const workspace_demand& entry)
    {
        const auto found = m_positions.find(key_of(entry));
        return found == m_positions.end() ? nullptr : &m_demand[found->second];
    }

private:
    using key =
        std::tuple<std::string_view, std::string_view, int>; // of the entry

    static key key_of(const workspace_demand& entry)
    {
        return {entry.service.value(), entry.workspace.value(), entry.rank};
    }

    std::vector<workspace_demand>& m_demand;
    absl::flat_hash_map<key, std::size_t> m_positions;
};

} // namespace

void shared_loads::add(const shared_loads& other)
{
    for (const auto& [server, load] : other.loads)
    {
        loads[server] += load;
    }
    for (const auto& [server, slowdown] : other.slowdowns)
    {
        auto& known = slowdowns[server];
        known = std::max(known, slowdown);
    }
    // The keys refer to entries, so that new ones are appended at the end.
    std::vector<workspace_demand> added;
    demand_index index(demand);
    for (const auto& entry : other.demand)
    {
        auto* known = index.find(entry);
        if (known == nullptr)
        {
            added.push_back(entry);
            continue;
        }
        known->slots += entry.slots;
    }
    demand.insert(demand.end(), added.begin(), added.end());
}

void shared_loads::subtract(const shared_loads& other)
{
    for (const auto& [server, load] : other.loads)
    {
        const auto known = loads.find(server);
        if (known == loads.end())
        {
            continue;
        }
        known->second -= load;
        auto& rest = known->second;
        rest = {std::max<std::int64_t>(0, rest.active),
                std::max<std::int64_t>(0, rest.unread_tokens),
                std::max<std::int64_t>(0, rest.memory_tokens)};
    }
    demand_index index(demand);
    for (const auto& entry : other.demand)
    {
        if (auto* known = index.find(entry))
        {
            known->slots = std::max(0.0, known->slots - entry.slots);
        }
    }
}

} // namespace daleshelf
