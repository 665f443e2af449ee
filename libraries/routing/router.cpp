#include "router.hpp"

#include "load_table.hpp"

#include <algorithm>
#include <array>
#include <base/digest.hpp>

namespace daleshelf
{

namespace
{

constexpr std::size_t prefix_bytes = 2048;
// An upstream may carry this much more than the least loaded one before the
// request goes to the next in rank instead.
constexpr std::int64_t affinity_slack = 4;

struct ranked_upstream
{
    std::uint64_t rank = 0;
    std::int64_t load = 0;
    const std::shared_ptr<const upstream_entry>* upstream = nullptr;
};

std::vector<ranked_upstream> rank_candidates(
    const std::vector<std::shared_ptr<const upstream_entry>>& candidates,
    const routing_request& request, const load_table& loads)
{
    std::vector<ranked_upstream> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
    {
        if (request.excluded.contains(candidate->id))
        {
            continue;
        }
        const auto load = loads.load(candidate->id);
        if (load.is_leaving || load.failed_until > request.now)
        {
            continue;
        }
        ranked.push_back({stable_hash(candidate->id.value(), request.prefix),
                          load.estimate(), &candidate});
    }
    return ranked;
}

using ranked_list = std::vector<ranked_upstream>;

std::int64_t least_load(const std::vector<ranked_upstream>& ranked)
{
    const auto least = std::min_element(
        ranked.begin(), ranked.end(),
        [](const ranked_upstream& left, const ranked_upstream& right)
        { return left.load < right.load; });
    return least->load;
}

/// By rendezvous hashing on the prefix: the same order on every entry host, so
/// that equal prefixes meet their cache. Upstreams that are much more loaded
/// than the least loaded one come last.
void order_by_affinity(ranked_list& ranked, const routing_request&)
{
    const auto limit = least_load(ranked) + affinity_slack;
    std::sort(ranked.begin(), ranked.end(),
              [limit](const ranked_upstream& left, const ranked_upstream& right)
              {
                  const bool is_left_busy = left.load > limit;
                  const bool is_right_busy = right.load > limit;
                  if (is_left_busy != is_right_busy)
                  {
                      return is_right_busy;
                  }
                  return left.rank > right.rank;
              });
}

void order_by_load(ranked_list& ranked, const routing_request&)
{
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_upstream& left, const ranked_upstream& right)
              { return left.load < right.load; });
}

void order_in_turn(ranked_list& ranked, const routing_request& request)
{
    const auto first = request.sequence % ranked.size();
    std::rotate(ranked.begin(),
                ranked.begin() + static_cast<std::ptrdiff_t>(first),
                ranked.end());
}

} // namespace

std::uint64_t prefix_hash(std::string_view prompt)
{
    return stable_hash(prompt.substr(0, prefix_bytes));
}

routing_choice choose_upstream(
    const std::vector<std::shared_ptr<const upstream_entry>>& candidates,
    const routing_request& request, load_table& loads)
{
    // docs/ARCHITECTURE.md, "Routing".
    // 1. Leave out what was tried, is leaving or has just failed.
    auto ranked = rank_candidates(candidates, request, loads);
    if (ranked.empty())
    {
        return {};
    }
    // 2. Bring them into the strategy's order.
    using orderer = void (*)(ranked_list&, const routing_request&);
    static constexpr std::array<orderer, 3> orderers{
        &order_by_affinity, &order_by_load, &order_in_turn};
    orderers.at(static_cast<std::size_t>(request.strategy))(ranked, request);
    // 3. Take the first that has room.
    for (const auto& entry : ranked)
    {
        const auto& upstream = *entry.upstream;
        if (loads.try_begin(upstream->id, upstream->max_concurrency))
        {
            return {routing_choice::outcome::chosen, upstream};
        }
    }
    return {routing_choice::outcome::overloaded, nullptr};
}

} // namespace daleshelf
