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
constexpr std::int64_t bytes_per_token = 6;
constexpr std::size_t memory_capacity = 20000;
constexpr absl::Duration memory_life = absl::Minutes(2);
// Upstreams looked at: from the prefix's place on the ring, and anywhere.
constexpr std::size_t ring_candidates = 6;
constexpr std::size_t other_candidates = 2;
// Computing so many prompt tokens again costs as much as one more request
// in the batch; see docs/MEASUREMENTS.md, "Price of a cache miss".
constexpr double tokens_per_request = 100;
constexpr double most_miss_cost = 16;

} // namespace

std::uint64_t prefix_hash(std::string_view prompt)
{
    return stable_hash(prompt.substr(0, prefix_bytes));
}

std::int64_t estimate_tokens(std::string_view prompt)
{
    return static_cast<std::int64_t>(prompt.size()) / bytes_per_token;
}

router::router(load_table& loads)
    : m_loads(loads), m_memory(memory_capacity, memory_life)
{
}

routing_choice router::choose(const upstream_ring& ring,
                              const routing_request& request)
{
    // docs/design/routing.md, "A choice".
    // 1. Candidates that may be used at all, the best first.
    static constexpr std::array<strategy, 3> strategies{
        &router::by_affinity, &router::by_load, &router::in_turn};
    const auto choice =
        strategies.at(static_cast<std::size_t>(request.strategy));
    auto candidates = (this->*choice)(ring, request);
    if (candidates.empty())
    {
        // What has just failed is better than nothing: to leave it out would
        // refuse every request for the failure of one.
        auto last_resort = request;
        last_resort.now = absl::InfiniteFuture();
        candidates = (this->*choice)(ring, last_resort);
    }
    if (candidates.empty())
    {
        return {};
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& left, const candidate& right)
                     { return left.score < right.score; });
    // 2. Take the first that has room; what was accepted needs none.
    if (!request.is_limited)
    {
        const auto& upstream = *candidates.front().upstream;
        m_loads.begin(upstream->id);
        return {routing_choice::outcome::chosen, upstream};
    }
    // 3. The best one, or none: the others are worse even though they have
    //    room, and what is spilled to them is computed again there.
    const auto& upstream = *candidates.front().upstream;
    if (!m_loads.try_begin(upstream->id, upstream->max_concurrency))
    {
        return {routing_choice::outcome::overloaded, nullptr};
    }
    m_memory.add(request.prefix, upstream->id, request.now);
    return {routing_choice::outcome::chosen, upstream};
}

/// @return the load, unless the upstream was tried, is leaving or has just
///         failed
std::optional<upstream_load>
router::usable_load(const upstream_entry& upstream,
                    const routing_request& request) const
{
    if (request.excluded.contains(upstream.id))
    {
        return std::nullopt;
    }
    auto load = m_loads.load(upstream.id);
    if (load.is_leaving || load.failed_until > request.now)
    {
        return std::nullopt;
    }
    return load;
}

/// Load against the price of a cache miss. A prefix is taken to be cached
/// where its place on the ring is, and where this host has sent it lately: a
/// prefix in great demand thus spreads over as many upstreams as it needs.
router::candidate_list router::by_affinity(const upstream_ring& ring,
                                           const routing_request& request)
{
    candidate_list candidates;
    const double miss_cost =
        std::min(most_miss_cost, static_cast<double>(request.prompt_tokens) /
                                     tokens_per_request);
    const auto add = [&](const std::shared_ptr<const upstream_entry>& upstream)
    {
        const auto load = usable_load(*upstream, request);
        if (!load)
        {
            return;
        }
        const bool is_first = candidates.empty();
        const bool is_warm =
            is_first ||
            m_memory.is_warm(request.prefix, upstream->id, request.now);
        candidates.push_back({&upstream, static_cast<double>(load->estimate()) +
                                             (is_warm ? 0 : miss_cost)});
    };
    ring.visit(request.prefix,
               [&](const std::shared_ptr<const upstream_entry>& upstream)
               {
                   add(upstream);
                   return candidates.size() < ring_candidates;
               });
    // Two more from anywhere, against crowding at the ring's neighbours.
    const auto& all = ring.upstreams();
    const bool is_small = all.size() <= ring_candidates;
    for (std::size_t i = 0; i < other_candidates && !is_small; ++i)
    {
        const auto number = stable_hash("other", ++m_sequence);
        add(all[number % all.size()]);
    }
    return candidates;
}

router::candidate_list router::by_load(const upstream_ring& ring,
                                       const routing_request& request)
{
    candidate_list candidates;
    for (const auto& upstream : ring.upstreams())
    {
        const auto load = usable_load(*upstream, request);
        if (load)
        {
            candidates.push_back(
                {&upstream, static_cast<double>(load->estimate())});
        }
    }
    return candidates;
}

router::candidate_list router::in_turn(const upstream_ring& ring,
                                       const routing_request& request)
{
    candidate_list candidates;
    for (const auto& upstream : ring.upstreams())
    {
        if (usable_load(*upstream, request))
        {
            candidates.push_back({&upstream, 0});
        }
    }
    if (candidates.empty())
    {
        return candidates;
    }
    // Turns go round those that can be used, or the one after a gap would get
    // the turns of all that are missing.
    const auto first = ++m_sequence % candidates.size();
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(first),
                candidates.end());
    return candidates;
}

} // namespace daleshelf
