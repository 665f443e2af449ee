/// @file
/// The choice of an upstream for a request.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <memory>
#include <resources/configuration.hpp>
#include <string_view>
#include <vector>

namespace daleshelf
{

class load_table;

/// What matters about a request for its place.
struct routing_request
{
    std::uint64_t prefix = 0; ///< hash of the prompt's leading blocks
    hall_id hall;             ///< of this entry host
    absl::Time now;
    absl::flat_hash_set<upstream_id> excluded; ///< tried already
    routing_strategy strategy = routing_strategy::affinity;
    std::uint64_t sequence = 0; ///< counts requests, for round robin
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

/// Chooses an upstream and counts the request in at `loads`.
/// @param candidates upstreams that serve what is asked for
/// @param request what is asked
/// @param loads what is known of their load
[[nodiscard]] routing_choice choose_upstream(
    const std::vector<std::shared_ptr<const upstream_entry>>& candidates,
    const routing_request& request, load_table& loads);

} // namespace daleshelf
