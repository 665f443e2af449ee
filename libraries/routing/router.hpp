/// @file
/// The choice of an upstream for a request.
#pragma once

#include "prefix_memory.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <atomic>
#include <base/identifiers.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <resources/configuration.hpp>
#include <string_view>
#include <vector>

namespace daleshelf
{

class load_table;
struct upstream_load;

/// What matters about a request for its place.
struct routing_request
{
    std::uint64_t prefix = 0;       ///< hash of the prompt's leading blocks
    std::int64_t prompt_tokens = 0; ///< estimate; 0 for plain services
    absl::Time now;
    absl::flat_hash_set<upstream_id> excluded; ///< tried already
    routing_strategy strategy = routing_strategy::affinity;
    /// Whether limits count; an accepted request that has to move is not
    /// refused for them.
    bool is_limited = true;
};

/// Why nothing was chosen, or what was.
struct routing_choice
{
    enum class outcome
    {
        chosen,
        none,       ///< no upstream serves this at all
        overloaded, ///< all are at their limits
    };

    outcome what = outcome::none;
    std::shared_ptr<const upstream_entry> upstream;
};

/// @param prompt a prompt's text
/// @return hash of its leading blocks, the same on every entry host
[[nodiscard]] std::uint64_t prefix_hash(std::string_view prompt);

/// @param prompt a prompt's text
/// @return about how many tokens it has
[[nodiscard]] std::int64_t estimate_tokens(std::string_view prompt);

/// Chooses upstreams; safe for many threads.
class router
{
public:
    /// @param loads what is known of the upstreams; must outlive this object
    explicit router(load_table& loads);

    /// Chooses an upstream and counts the request in at its load.
    /// @param ring upstreams that serve what is asked for
    /// @param request what is asked
    [[nodiscard]] routing_choice choose(const upstream_ring& ring,
                                        const routing_request& request);

private:
    /// An upstream that could be chosen.
    struct candidate
    {
        const std::shared_ptr<const upstream_entry>* upstream = nullptr;
        double score = 0; ///< the lowest is best
    };

    using candidate_list = std::vector<candidate>;
    using strategy = candidate_list (router::*)(const upstream_ring&,
                                                const routing_request&);

    candidate_list by_affinity(const upstream_ring& ring,
                               const routing_request& request);
    candidate_list by_load(const upstream_ring& ring,
                           const routing_request& request);
    candidate_list in_turn(const upstream_ring& ring,
                           const routing_request& request);
    std::optional<upstream_load>
    usable_load(const upstream_entry& upstream,
                const routing_request& request) const;

    load_table& m_loads;
    prefix_memory m_memory;
    std::atomic<std::uint64_t> m_sequence = 0;
};

} // namespace daleshelf
