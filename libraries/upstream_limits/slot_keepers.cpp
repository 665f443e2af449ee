#include "slot_keepers.hpp"

#include <algorithm>
#include <base/digest.hpp>
#include <cstdint>

namespace daleshelf
{

namespace
{

struct ranked_host
{
    std::uint64_t weight = 0;
    const host_id* host = nullptr;

    bool operator<(const ranked_host& other) const
    {
        return weight > other.weight;
    }
};

} // namespace

std::vector<host_id> slot_keepers(const upstream_id& server,
                                  const hall_id& server_hall,
                                  const std::vector<slot_host>& candidates,
                                  std::size_t count)
{
    const auto key = stable_hash(server.value());
    const bool has_hosts = std::any_of(
        candidates.begin(), candidates.end(),
        [&](const auto& candidate) { return candidate.hall == server_hall; });
    std::vector<ranked_host> ranked;
    for (const auto& candidate : candidates)
    {
        const bool is_eligible = !has_hosts || candidate.hall == server_hall;
        if (!is_eligible || !candidate.is_reachable)
        {
            continue;
        }
        ranked.push_back(
            {stable_hash(candidate.host.value(), key), &candidate.host});
    }
    const auto size = std::min(count, ranked.size());
    std::partial_sort(
        ranked.begin(),
        std::next(ranked.begin(), static_cast<std::ptrdiff_t>(size)),
        ranked.end());
    ranked.resize(size);
    std::vector<host_id> keepers;
    keepers.reserve(ranked.size());
    for (const auto& keeper : ranked)
    {
        keepers.push_back(*keeper.host);
    }
    return keepers;
}

} // namespace daleshelf
